// Package dragonflyengine serves one rank of a stand-in engine over HTTP.
package dragonflyengine

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dragonflyrelay.example/dragonflybench/commands/dragonflyannouncer"
	"dragonflyrelay.example/dragonflybench/commands/dragonflyenginecore"
	"dragonflyrelay.example/dragonflybench/common/dragonflyhttpserver"
	"dragonflyrelay.example/dragonflybench/common/dragonflylistener"
	"dragonflyrelay.example/dragonflybench/queries/dragonflyexpectation"
	"dragonflyrelay.example/dragonflybench/values/dragonflyengineaction"
	"dragonflyrelay.example/dragonflybench/values/dragonflyengineevent"
	"dragonflyrelay.example/dragonflybench/values/dragonflyenginesettings"
	"dragonflyrelay.example/library/common/dragonflyclock"
	"dragonflyrelay.example/library/common/dragonflyduty"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflylatest"
	"dragonflyrelay.example/library/common/dragonflypool"
	"dragonflyrelay.example/library/common/dragonflyring"
	"dragonflyrelay.example/library/values/dragonflyannouncement"
	"github.com/pkg/errors"
)

// ringCapacity is the number of events that may be queued for the core.
const ringCapacity = 1024

// poolSize bounds the goroutines of one engine: three duties, and up to five pings
// in progress for each of 7 other ranks, with some to spare.
const poolSize = 48

// idSeparator separates a request id, which has no space, from the number of its
// run.
const idSeparator = " "

// orderPrefix starts the ids of orders. The id of a run never starts with it, because
// it starts with a request id, which is not empty.
const orderPrefix = idSeparator

// replyRing delivers the actions for one request or one order to its handler.
type replyRing = *dragonflyring.Ring[dragonflyengineaction.Action]

// input is an event with the ring of its waiting handler, if any.
type input struct {
	ev      dragonflyengineevent.Event
	replies replyRing
}

// isLastAction reports whether a is the last action for its handler. An order has
// only one action.
func isLastAction(a dragonflyengineaction.Action, isOrder bool) bool {
	switch a.Kind {
	case dragonflyengineaction.Finish, dragonflyengineaction.Break, dragonflyengineaction.Refuse:
		return true
	default:
		return isOrder
	}
}

// Engine is one rank of a stand-in engine. Fields are set before Listen or Run
// and not changed afterwards.
type Engine struct {
	// Settings are the settings of the engine.
	Settings dragonflyenginesettings.Settings
	// Token returns the text of a token; nil means dragonflyexpectation.Token.
	Token func(prompt string, index int) string

	mu        sync.Mutex
	listener  *dragonflylistener.Listener
	clock     dragonflyclock.Clock
	in        *dragonflyring.Ring[input]
	core      dragonflylatest.Latest[dragonflyenginecore.Core]
	pool      dragonflypool.Pool
	lastRun   atomic.Uint64        // number of the latest request or order
	waiting   map[string]replyRing // handlers by id; owned by the core's duty
	wakeTimer *time.Timer          // owned by the core's duty
}

// Listen binds the listen address and returns it with the port that replaces a
// port of 0. Run calls it if it has not been called.
func (e *Engine) Listen() (addr string, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.listener != nil {
		return e.listener.Addr().String(), nil
	}
	e.Settings = e.Settings.WithDefaults()
	e.listener, err = dragonflylistener.Listen(e.Settings.Listen)
	if err != nil {
		return "", errors.WithMessagef(err, "engine %s", e.Settings.Instance)
	}
	return e.listener.Addr().String(), nil
}

// Run serves until ctx ends, then closes all connections abruptly, as the crash of
// a process would.
func (e *Engine) Run(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessagef(err, "engine %s", e.Settings.Instance) }()
	addr, err := e.Listen()
	if err != nil {
		return err
	}
	if e.Token == nil {
		e.Token = dragonflyexpectation.Token
	}
	e.pool.Name, e.pool.Size = "engine", poolSize
	e.in = dragonflyring.New[input]("engine", ringCapacity)
	e.waiting = map[string]replyRing{}
	e.wakeTimer = time.AfterFunc(time.Hour, e.tick)
	defer e.wakeTimer.Stop()
	e.core.Store(dragonflyenginecore.New(e.Settings))
	announcer := dragonflyannouncer.Announcer{Agent: e.Settings.Agent, Announcement: func() (dragonflyannouncement.Announcement, bool) {
		return e.announcement(addr)
	}}
	for name, duty := range map[string]func(context.Context) error{
		"engine-core": e.runCore, "engine-announcer": announcer.Run, "engine-pinger": e.runPinger,
	} {
		if err := e.pool.Start(ctx, name, duty); err != nil {
			return err
		}
	}
	return dragonflyhttpserver.Serve(ctx, e.listener, e.routes)
}

func (e *Engine) runCore(ctx context.Context) error {
	defer e.in.Close()
	d := dragonflyduty.Duty[dragonflyenginecore.Core, input, dragonflyengineaction.Action]{
		In: e.in, State: e.core.Load(), Step: e.step, Act: e.act, Publish: e.core.Store, Clock: e.clock,
	}
	return d.Run(ctx)
}

// step registers the handler of an event and steps the core.
func (e *Engine) step(c dragonflyenginecore.Core, now dragonflyinstant.Instant, in input) (dragonflyenginecore.Core, []dragonflyengineaction.Action) {
	if in.replies != nil {
		e.waiting[in.ev.ID] = in.replies
	}
	if in.ev.Kind == dragonflyengineevent.Cancel {
		delete(e.waiting, in.ev.ID)
	}
	return c.Step(now, in.ev)
}

// act delivers an action to the handler that waits for it. The ring of a request
// has capacity for its complete answer, so a slow caller does not block the batch.
func (e *Engine) act(_ context.Context, a dragonflyengineaction.Action) {
	if a.Kind == dragonflyengineaction.Wake {
		e.wakeTimer.Reset(time.Duration(a.At.Sub(e.clock.Now())))
		return
	}
	w, ok := e.waiting[a.ID]
	if !ok {
		return
	}
	_ = w.TryPut(a)
	if isLastAction(a, strings.HasPrefix(a.ID, orderPrefix)) {
		delete(e.waiting, a.ID)
	}
}

// tick is called by the timer. If the ring is full, the tick is dropped: any event
// in the ring advances the batch too.
func (e *Engine) tick() {
	_ = e.in.TryPut(input{ev: dragonflyengineevent.Event{Kind: dragonflyengineevent.Tick}})
}

func (e *Engine) announcement(addr string) (dragonflyannouncement.Announcement, bool) {
	now, core := e.clock.Now(), e.core.Load()
	a := core.Announcement(now)
	a.Address = addr
	return a, !now.Before(core.FrozenUntil())
}

// waitWhileFrozen waits while a fault freezes the engine. It returns the error of
// a ctx that ends first.
func (e *Engine) waitWhileFrozen(ctx context.Context) error {
	for {
		left := e.core.Load().FrozenUntil().Sub(e.clock.Now())
		if left <= 0 {
			return ctx.Err()
		}
		t := time.NewTimer(time.Duration(left))
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		}
	}
}
