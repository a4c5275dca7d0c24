// Package dragonflyplainservice serves a stand-in for a plain service, which
// records how often each call has run.
package dragonflyplainservice

import (
	"context"
	"sync"
	"sync/atomic"

	"dragonflyrelay.example/dragonflybench/commands/dragonflyannouncer"
	"dragonflyrelay.example/dragonflybench/commands/dragonflycallledger"
	"dragonflyrelay.example/dragonflybench/common/dragonflyhttpserver"
	"dragonflyrelay.example/dragonflybench/common/dragonflylistener"
	"dragonflyrelay.example/dragonflybench/values/dragonflycallaction"
	"dragonflyrelay.example/dragonflybench/values/dragonflycallevent"
	"dragonflyrelay.example/dragonflybench/values/dragonflyservicesettings"
	"dragonflyrelay.example/library/common/dragonflyclock"
	"dragonflyrelay.example/library/common/dragonflyduty"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflylatest"
	"dragonflyrelay.example/library/common/dragonflypool"
	"dragonflyrelay.example/library/common/dragonflyring"
	"dragonflyrelay.example/library/values/dragonflyannouncement"
	"dragonflyrelay.example/library/values/dragonflyload"
	"github.com/pkg/errors"
)

// ringCapacity is the number of events that can wait for the ledger.
const ringCapacity = 1024

// announcedLimit is the limit of concurrent calls that the service announces.
const announcedLimit = 64

// replyRing passes the action on one call to the handler of the call.
type replyRing = *dragonflyring.Ring[dragonflycallaction.Action]

// input is an event and, for a call, the ring on which its handler waits.
type input struct {
	ev      dragonflycallevent.Event
	replies replyRing
}

// PlainService is a stand-in for a plain service. Fields are set before Listen
// or Run and not changed afterwards.
type PlainService struct {
	// Settings are those of the service.
	Settings dragonflyservicesettings.Settings

	mu         sync.Mutex
	listener   *dragonflylistener.Listener
	clock      dragonflyclock.Clock
	events     *dragonflyring.Ring[input]
	ledger     dragonflylatest.Latest[dragonflycallledger.Ledger]
	pool       dragonflypool.Pool
	lastCallID atomic.Uint64
	replyRings map[uint64]replyRing // owned by the ledger goroutine
}

// Listen binds the address and returns it with the port that was chosen if the
// settings have port 0. Run calls Listen if it has not been called.
func (s *PlainService) Listen() (addr string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		return s.listener.Addr().String(), nil
	}
	listen := s.Settings.Listen
	if listen == "" {
		listen = "127.0.0.1:0"
	}
	s.listener, err = dragonflylistener.Listen(listen)
	if err != nil {
		return "", errors.WithMessagef(err, "service %s", s.Settings.Instance)
	}
	return s.listener.Addr().String(), nil
}

// Run serves until ctx ends and then closes all connections without draining, as
// the end of a killed process does.
func (s *PlainService) Run(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessagef(err, "service %s", s.Settings.Instance) }()
	addr, err := s.Listen()
	if err != nil {
		return err
	}
	s.pool.Name = "plain-service"
	s.events = dragonflyring.New[input]("plain-service", ringCapacity)
	s.replyRings = map[uint64]replyRing{}
	s.ledger.Store(dragonflycallledger.New(s.Settings))
	announcer := dragonflyannouncer.Announcer{Agent: s.Settings.Agent, Announcement: func() (dragonflyannouncement.Announcement, bool) {
		return s.announcement(addr), true
	}}
	if err := s.pool.Start(ctx, "service-ledger", s.runLedger); err != nil {
		return err
	}
	if err := s.pool.Start(ctx, "service-announcer", announcer.Run); err != nil {
		return err
	}
	return dragonflyhttpserver.Serve(ctx, s.listener, s.routes)
}

func (s *PlainService) runLedger(ctx context.Context) error {
	defer s.events.Close()
	d := dragonflyduty.Duty[dragonflycallledger.Ledger, input, dragonflycallaction.Action]{
		In: s.events, State: s.ledger.Load(), Step: s.step, Act: s.act, Publish: s.ledger.Store, Clock: s.clock,
	}
	return d.Run(ctx)
}

func (s *PlainService) step(l dragonflycallledger.Ledger, now dragonflyinstant.Instant, in input) (dragonflycallledger.Ledger, []dragonflycallaction.Action) {
	if in.replies != nil {
		s.replyRings[in.ev.CallID] = in.replies
	}
	return l.Step(now, in.ev)
}

func (s *PlainService) act(_ context.Context, a dragonflycallaction.Action) {
	if r, ok := s.replyRings[a.CallID]; ok {
		_ = r.TryPut(a)
		delete(s.replyRings, a.CallID)
	}
}

func (s *PlainService) announcement(addr string) dragonflyannouncement.Announcement {
	return dragonflyannouncement.Announcement{
		Instance: s.Settings.Instance, Kind: dragonflyannouncement.Service, Address: addr,
		Region: s.Settings.Region, Zone: s.Settings.Zone, Domain: s.Settings.Domain,
		Service: s.Settings.Service, State: dragonflyannouncement.Ready, ColdLimit: s.Settings.ColdLimit,
		Load: dragonflyload.Load{InFlight: s.ledger.Load().InFlight(), Limit: announcedLimit},
	}
}
