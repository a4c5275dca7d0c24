// Package dragonflylocalsystem runs a whole system in one process on loopback:
// control, entries, agents and stand-in upstreams, connected by real sockets.
package dragonflylocalsystem

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"dragonflyrelay.example/dragonflycontrol/commands/dragonflycontrolserver"
	"dragonflyrelay.example/dragonflycontrol/queries/dragonflycontrolsettings"
	"dragonflyrelay.example/dragonflydev/values/dragonflydevsettings"
	"dragonflyrelay.example/dragonflyentry/commands/dragonflyentryserver"
	"dragonflyrelay.example/dragonflyentry/queries/dragonflyentrysettings"
	"dragonflyrelay.example/library/common/dragonflypool"
	"github.com/pkg/errors"
)

const (
	// internalKey authenticates the parts of a local system to each other. It need
	// not be secret, because all parts listen on loopback only.
	internalKey = "local-system-key"
	// startTimeout bounds Start, until all parts listen and all groups are ready.
	startTimeout = 30 * time.Second
	// stopTimeout bounds the shutdown after the context of the last part is cancelled.
	stopTimeout = 10 * time.Second
)

// System is a local system. Settings are set before Start; a System is started
// once. Its parts stop in the order entries, upstreams and agents, control, so
// that no request in progress is interrupted.
type System struct {
	// Settings describe the system.
	Settings dragonflydevsettings.Settings

	pool    dragonflypool.Pool
	mu      sync.Mutex
	err     error
	entries []string
	engines []string
	control string

	stopEntries, stopAgents, stopControl context.CancelFunc
	entryDone, agentDone                 sync.WaitGroup
}

// Start starts all parts, proposes a configuration with one workspace and one
// class, and returns once every group is ready.
func (s *System) Start(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "start local system") }()
	s.Settings = s.Settings.WithDefaults()
	s.pool.Name = "local-system"
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	key := filepath.Join(s.Settings.Folder, "internal-key")
	if err := os.WriteFile(key, []byte(internalKey), 0o600); err != nil {
		return err
	}
	if err := s.startControl(ctx, key); err != nil {
		return err
	}
	if err := s.startInstances(ctx); err != nil {
		return err
	}
	if err := s.startEntries(ctx); err != nil {
		return err
	}
	if err := s.configure(ctx); err != nil {
		return err
	}
	return s.waitReady(ctx)
}

// Entries returns the addresses of the entries.
func (s *System) Entries() []string { return s.entries }

// Engines returns the addresses of the stand-in engines, for measurements that
// bypass the entries and agents.
func (s *System) Engines() []string { return s.engines }

// Control returns the address of control.
func (s *System) Control() string { return s.control }

// Stop shuts all parts down gracefully and returns the first error of any part.
func (s *System) Stop() (err error) {
	defer func() { err = errors.WithMessage(err, "stop local system") }()
	stop(s.stopEntries)
	s.entryDone.Wait()
	stop(s.stopAgents)
	s.agentDone.Wait()
	stop(s.stopControl)
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := s.pool.Wait(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// run runs one part on the pool until its context ends and keeps the first error of
// any part. done, unless nil, counts the parts that still run.
func (s *System) run(ctx context.Context, done *sync.WaitGroup, part func(ctx context.Context) error) error {
	if done != nil {
		done.Add(1)
	}
	return s.pool.Go(func() {
		if done != nil {
			defer done.Done()
		}
		err := part(ctx)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.err == nil {
			s.err = err
		}
	})
}

func (s *System) startControl(ctx context.Context, key string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.control = l.Addr().String()
	listening := make(chan struct{})
	srv := &dragonflycontrolserver.Server{
		Settings: dragonflycontrolsettings.Settings{
			Instance: "control-1", Members: map[string]string{"control-1": s.control},
			Listen: s.control, DebugListen: "127.0.0.1:0", KeyFile: key,
			DataFolder: filepath.Join(s.Settings.Folder, "control-1"),
			Timeline:   filepath.Join(s.Settings.Folder, "control-1.timeline"),
		},
		Listen: func(network, address string) (net.Listener, error) {
			if address == s.control {
				return l, nil
			}
			return net.Listen(network, address)
		},
		Listening: func(_, _ net.Addr) { close(listening) },
	}
	run, stop := context.WithCancel(context.Background())
	s.stopControl = stop
	if err := s.run(run, nil, srv.Run); err != nil {
		return err
	}
	return waitFor(ctx, listening)
}

func (s *System) startEntries(ctx context.Context) error {
	run, stop := context.WithCancel(context.Background())
	s.stopEntries = stop
	for i := range s.Settings.Entries {
		name := "entry-" + ordinal(i)
		listen := "127.0.0.1:0"
		if i == 0 {
			listen = s.Settings.Listen
		}
		bound := make(chan string, 1)
		srv := &dragonflyentryserver.Server{
			Settings: dragonflyentrysettings.Settings{
				Name: name, Listen: listen, Region: "local",
				Zone: s.Settings.Zones[i%len(s.Settings.Zones)], Control: []string{s.control},
				Key:      internalKey,
				Timeline: filepath.Join(s.Settings.Folder, name+".timeline"),
			},
			Listening: func(addr string) { bound <- addr },
		}
		if err := s.run(run, &s.entryDone, srv.Run); err != nil {
			return err
		}
		select {
		case addr := <-bound:
			s.entries = append(s.entries, addr)
		case <-ctx.Done():
			return errors.WithMessage(ctx.Err(), "wait for "+name)
		}
	}
	return nil
}

// stop calls cancel unless it is nil, as it is for parts that were never started.
func stop(cancel context.CancelFunc) {
	if cancel != nil {
		cancel()
	}
}

func waitFor(ctx context.Context, ready <-chan struct{}) error {
	select {
	case <-ready:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
