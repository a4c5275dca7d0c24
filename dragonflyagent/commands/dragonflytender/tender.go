// Package dragonflytender runs an agent that tends the engine on its machine: it
// reports the engine's state to control and carries out control's orders.
package dragonflytender

import (
	"context"
	"log/slog"
	"net"
	"runtime/debug"
	"syscall"
	"time"

	"dragonflyrelay.example/dragonflyagent/values/dragonflytendsettings"
	"dragonflyrelay.example/library/common/dragonflycontrolfollower"
	"dragonflyrelay.example/library/common/dragonflydebugserver"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflylatest"
	"dragonflyrelay.example/library/common/dragonflypool"
	"dragonflyrelay.example/library/common/dragonflyring"
	"dragonflyrelay.example/library/values/dragonflyfollowrequest"
	"dragonflyrelay.example/library/values/dragonflyobservation"
	"dragonflyrelay.example/library/values/dragonflyserverorder"
	"github.com/pkg/errors"
)

const (
	// pollInterval is the time between two looks at the engine. It bounds how
	// late the loss of an engine is noticed, and callers see a pause of 200 ms; a
	// look costs the engine nothing.
	pollInterval = 40 * time.Millisecond
	// busyInterval is the same while an order is being carried out.
	busyInterval = 20 * time.Millisecond
	// reportTimeout bounds one look. The engine on the same machine answers
	// within a few milliseconds, and one that is gone leaves the kept connection
	// without an answer.
	reportTimeout = 50 * time.Millisecond
	// connectTimeout bounds a connection to an engine that has not answered.
	connectTimeout = 50 * time.Millisecond
	// reportInterval is the longest time between two reports to control.
	reportInterval = time.Second
	// followWait is how long control holds an order's answer back.
	followWait = dragonflyduration.Second
	// ringCapacity joins duties of which each new item replaces the one before.
	ringCapacity = 16
	stopTimeout  = 500 * time.Millisecond
)

// missesUntilAbsent is the number of looks in a row that must fail, unless the
// engine's port refuses connections. One may fail when connections are reset.
const missesUntilAbsent = 2

// Tender is one agent. Settings, Report, Order and Connect must be set before
// Run.
type Tender struct {
	// Settings are the agent's settings.
	Settings dragonflytendsettings.Settings
	// Report asks the engine for its state, Order gives it an order and returns
	// the status of the answer.
	Report func(ctx context.Context, timeout time.Duration) (dragonflyobservation.Observation, error)
	Order  func(ctx context.Context, timeout time.Duration, o dragonflyserverorder.Order) (status int, err error)
	// Connect opens a connection to the engine and closes it.
	Connect func(ctx context.Context, timeout time.Duration) error

	// Reseed returns the addresses of control instances as the settings name them
	// now; nil keeps those of Settings.
	Reseed func() []string

	pool    dragonflypool.Pool
	reports *dragonflyring.Ring[dragonflyobservation.Observation] // to control
	orders  *dragonflyring.Ring[dragonflyserverorder.Order]       // from control
	seen    dragonflylatest.Latest[dragonflyobservation.Observation]
	working dragonflylatest.Latest[dragonflyserverorder.Order]
}

// Run tends the engine until ctx ends. The engine goes on without the agent.
func (t *Tender) Run(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessagef(err, "agent %s", t.Settings.Name) }()
	if t.Settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(t.Settings.MemoryLimit / 2)
	}
	t.pool.Name = "tender"
	t.reports = dragonflyring.New[dragonflyobservation.Observation]("tender-reports", ringCapacity)
	t.orders = dragonflyring.New[dragonflyserverorder.Order]("tender-orders", ringCapacity)
	duties := map[string]func(ctx context.Context) error{
		"poll": t.poll, "report": t.report, "follow": t.follow, "execute": t.execute,
	}
	if t.Settings.MetricsListen != "" {
		l, err := net.Listen("tcp", t.Settings.MetricsListen)
		if err != nil {
			return err
		}
		duties["metrics"] = func(ctx context.Context) error { return (&dragonflydebugserver.Server{}).Serve(ctx, l) }
	}
	for name, duty := range duties {
		if err := t.pool.Start(ctx, name, duty); err != nil {
			return err
		}
	}
	slog.Info("agent started", "agent", t.Settings.Name, "engine", t.Settings.Engine)
	<-ctx.Done()
	wait, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = t.pool.Wait(wait)
	slog.Info("agent stopped", "agent", t.Settings.Name)
	return nil
}

// poll looks at the engine, and passes on what is new or due.
func (t *Tender) poll(ctx context.Context) error {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	var told dragonflyobservation.Observation
	var toldAt time.Time
	misses := 0
	for {
		o, err := t.Report(ctx, reportTimeout)
		refused := false
		if err != nil {
			misses++
			o, refused = t.absence(ctx)
		} else {
			misses = 0
		}
		if err == nil || refused || misses >= missesUntilAbsent {
			if o.State != told.State {
				slog.Info("engine state", "engine", t.Settings.Engine, "state", o.State, "error", err)
			}
			t.seen.Store(o)
			if !o.SameStatus(told) || time.Since(toldAt) >= reportInterval {
				if t.reports.TryPut(o) == nil {
					told, toldAt = o, time.Now()
				}
			}
		}
		interval := pollInterval
		if k := t.working.Load().Kind; o.Busy || k != 0 && k != dragonflyserverorder.Stage {
			interval = busyInterval
		}
		timer.Reset(interval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// absence tells an engine that is gone from one that does not answer. Refused tells
// that nobody listens at its port, so that no second look is needed.
func (t *Tender) absence(ctx context.Context) (o dragonflyobservation.Observation, refused bool) {
	o = dragonflyobservation.Observation{Address: t.Settings.Engine, State: dragonflyobservation.Unreachable}
	err := t.Connect(ctx, connectTimeout)
	if err == nil {
		o.State = dragonflyobservation.Silent
	}
	return o, errors.Is(err, syscall.ECONNREFUSED)
}

// report sends reports to control. A newer report replaces one that waits.
func (t *Tender) report(ctx context.Context) error {
	f := &dragonflycontrolfollower.Follower{Seeds: t.Settings.Control, Reseed: t.Reseed}
	for {
		o, err := t.reports.Take(ctx)
		if err != nil {
			return err
		}
		for t.reports.Len() > 0 {
			if o, err = t.reports.Take(ctx); err != nil {
				return err
			}
		}
		n, err := f.Follow(ctx, t.question(0, o))
		if err != nil {
			return err
		}
		_ = t.orders.TryPut(n.Order)
	}
}

// follow waits for orders of control.
func (t *Tender) follow(ctx context.Context) error {
	f := &dragonflycontrolfollower.Follower{Seeds: t.Settings.Control, Reseed: t.Reseed}
	for {
		n, err := f.Follow(ctx, t.question(followWait))
		if err != nil {
			return err
		}
		t.working.Store(n.Order)
		if err := t.orders.Put(ctx, n.Order); err != nil {
			return err
		}
	}
}

func (t *Tender) question(wait dragonflyduration.Duration, reports ...dragonflyobservation.Observation) dragonflyfollowrequest.Request {
	return dragonflyfollowrequest.Request{
		Process: t.Settings.Name, Role: dragonflyfollowrequest.Agent, Wait: wait, Reports: reports,
		Address: t.Settings.Engine, Order: t.working.Load(),
	}
}
