// Package dragonflytestsystem runs a complete system in one process on loopback
// addresses for the experiments. Its parts are started, crashed and stopped one by
// one.
package dragonflytestsystem

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"dragonflyrelay.example/dragonflyagent/commands/dragonflyagentserver"
	"dragonflyrelay.example/dragonflyagent/values/dragonflyagentsettings"
	"dragonflyrelay.example/dragonflybench/commands/dragonflyengine"
	"dragonflyrelay.example/dragonflybench/values/dragonflyenginesettings"
	"dragonflyrelay.example/dragonflycontrol/commands/dragonflycontrolserver"
	"dragonflyrelay.example/dragonflycontrol/queries/dragonflycontrolsettings"
	"dragonflyrelay.example/dragonflyentry/commands/dragonflyentryserver"
	"dragonflyrelay.example/dragonflyentry/queries/dragonflyentrysettings"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflypool"
	"github.com/pkg/errors"
)

const (
	internalKey = "experiment"
	region      = "region-a"
	// poolSize bounds the number of parts; each takes one worker of the pool, and
	// an instance with an engine takes two.
	poolSize = 1024
	// drainTimeout bounds the graceful shutdown of agents, which have no requests
	// in progress at that time.
	drainTimeout = 2 * dragonflyduration.Second
	stopTimeout  = 20 * time.Second
)

// System is a system whose parts are started one by one. Fields are set before
// the first part starts. Methods are called from one goroutine at a time, except
// for EntryAddress, which other goroutines may call once all entries have started.
type System struct {
	// Folder is the directory for the logs of control and the key file.
	Folder string
	// Adopted, if not nil, is called when an agent or an entry starts to follow a
	// configuration version. It is called from many goroutines.
	Adopted func(process string, version uint64)

	pool     dragonflypool.Pool
	controls []string
	stops    map[string]context.CancelFunc
	crashes  map[string]context.CancelFunc
	engines  map[string]string
	entries  map[string]chan string
	clients  clients

	mu  sync.Mutex
	err error // error of the first part that failed; guarded by mu
}

// StartControls starts n control instances, named control-0 and so on.
func (s *System) StartControls(n int) (err error) {
	defer func() { err = errors.WithMessage(err, "start control") }()
	s.pool.Name, s.pool.Size = "experiment", poolSize
	s.stops, s.crashes, s.engines = map[string]context.CancelFunc{}, map[string]context.CancelFunc{}, map[string]string{}
	s.entries = map[string]chan string{}
	key := filepath.Join(s.Folder, "internal-key")
	if err := os.WriteFile(key, []byte(internalKey), 0o600); err != nil {
		return err
	}
	members, listeners := map[string]string{}, map[string]net.Listener{}
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		addr := l.Addr().String()
		members[controlName(i)], listeners[addr] = addr, l
		s.controls = append(s.controls, addr)
	}
	for i, addr := range s.controls {
		srv := &dragonflycontrolserver.Server{
			Settings: dragonflycontrolsettings.Settings{
				Instance: controlName(i), Members: members, Listen: addr, DebugListen: "127.0.0.1:0",
				KeyFile: key, DataFolder: filepath.Join(s.Folder, controlName(i)),
			},
			Listen: func(network, address string) (net.Listener, error) {
				if address == addr {
					return listeners[addr], nil
				}
				return net.Listen(network, address)
			},
		}
		if err := s.start(controlName(i), srv.Run); err != nil {
			return err
		}
	}
	return nil
}

func controlName(i int) string { return fmt.Sprintf("control-%d", i) }

// StartEntry starts an entry.
func (s *System) StartEntry(name, zone string) error {
	bound := make(chan string, 1)
	s.entries[name] = bound
	srv := &dragonflyentryserver.Server{
		Settings: dragonflyentrysettings.Settings{
			Name: name, Listen: "127.0.0.1:0", Region: region, Zone: zone, Control: s.controls, Key: internalKey,
		},
		Adopted:   s.adopted(name),
		Listening: func(addr string) { bound <- addr },
	}
	return s.start(name, srv.Run)
}

// EntryAddress waits until the entry listens and returns its address.
func (s *System) EntryAddress(ctx context.Context, name string) (addr string, err error) {
	bound, ok := s.entries[name]
	if !ok {
		return "", errors.Errorf("no entry %q", name)
	}
	select {
	case addr = <-bound:
		bound <- addr
		return addr, nil
	case <-ctx.Done():
		return "", errors.WithMessagef(ctx.Err(), "wait for entry %q", name)
	}
}

// StartAgent starts the agent of an instance, which connects to control instance
// home first. It returns the address for announcements as soon as the agent listens.
func (s *System) StartAgent(ctx context.Context, name, zone, domain string, home int) (announce string, err error) {
	crash, cancel := context.WithCancel(context.Background())
	s.crashes[name] = cancel
	var control []string
	for i := range s.controls {
		control = append(control, s.controls[(home+i)%len(s.controls)])
	}
	srv := &dragonflyagentserver.Server{
		Settings: dragonflyagentsettings.Settings{
			Instance: name, Region: region, Zone: zone, Domain: domain,
			Listen: "127.0.0.1:0", UpstreamListen: "127.0.0.1:0", Control: control, Key: internalKey,
			DrainTimeout: drainTimeout,
		},
		Adopted: s.adopted(name),
		Crash:   crash.Done(),
	}
	if err := s.start(name, srv.Run); err != nil {
		return "", err
	}
	bound, err := srv.Bound(ctx)
	return bound.UpstreamListen, err
}

// StartInstance starts an agent and a stand-in engine beside it.
func (s *System) StartInstance(ctx context.Context, name, zone, domain string, home int) error {
	announce, err := s.StartAgent(ctx, name, zone, domain, home)
	if err != nil {
		return err
	}
	engine := &dragonflyengine.Engine{Settings: dragonflyenginesettings.Settings{
		Instance: name, Agent: announce, Region: region, Zone: zone, Domain: domain, ChecksFencing: true,
	}}
	if s.engines[name], err = engine.Listen(); err != nil {
		return err
	}
	return s.start(engineName(name), engine.Run)
}

func engineName(instance string) string { return instance + "-engine" }

// Engine returns the address of an instance's engine.
func (s *System) Engine(instance string) string { return s.engines[instance] }

// Crash ends the agent and the engine of an instance without a graceful shutdown,
// so that no other process is notified.
func (s *System) Crash(instance string) {
	s.crashes[instance]()
	s.stops[engineName(instance)]()
}

// StopPart starts the shutdown of a part and does not wait for its end.
func (s *System) StopPart(name string) { s.stops[name]() }

// Stop ends all parts, agents without draining and the others gracefully. It
// returns the first error of any part.
func (s *System) Stop() (err error) {
	defer func() { err = errors.WithMessage(err, "stop the system") }()
	for _, crash := range s.crashes {
		crash()
	}
	for _, stop := range s.stops {
		stop()
	}
	s.clients.close()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := s.pool.Wait(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

func (s *System) adopted(process string) func(version uint64) {
	if s.Adopted == nil {
		return nil
	}
	return func(version uint64) { s.Adopted(process, version) }
}

func (s *System) start(name string, run func(ctx context.Context) error) error {
	ctx, stop := context.WithCancel(context.Background())
	s.stops[name] = stop
	return s.pool.Go(func() {
		err := run(ctx)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.err == nil {
			s.err = errors.WithMessage(err, name)
		}
	})
}
