// Package dragonflyengineagent runs the agent of the engine on the same machine:
// it reports the engine's state to control and executes control's orders.
package dragonflyengineagent

import (
	"context"
	"log/slog"
	"math/rand/v2"
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
	"dragonflyrelay.example/library/values/dragonflyenginegroup"
	"dragonflyrelay.example/library/values/dragonflyfollowrequest"
	"dragonflyrelay.example/library/values/dragonflyobservation"
	"dragonflyrelay.example/library/values/dragonflyserverorder"
	"github.com/pkg/errors"
)

const (
	// pollInterval is the time between two polls of the engine. It bounds the
	// delay in detecting the loss of an engine. Callers notice a pause of 200 ms,
	// and the cost of a poll to the engine is negligible.
	pollInterval = 40 * time.Millisecond
	// busyPollInterval is the time between two polls while the engine is busy or
	// control has an order for it other than staging.
	busyPollInterval = 20 * time.Millisecond
	// pollTimeout bounds one poll. The engine on the same machine answers within
	// a few milliseconds. If it has disappeared, a request on the kept-alive
	// connection gets no answer.
	pollTimeout = 50 * time.Millisecond
	// connectTimeout bounds connecting to an engine that has failed a poll.
	connectTimeout = 50 * time.Millisecond
	// ownDelay is how late a timeout may be noticed. A later one shows that this process
	// lacked processor time, and nothing of the engine.
	ownDelay = 25 * time.Millisecond
	// reportInterval is the longest time between two reports to control.
	reportInterval = time.Second
	// shortReportInterval replaces reportInterval while the engine takes no connection, since
	// control waits until that has been so for some time, and once after a new state: control
	// drops the report of an engine whose first heartbeat is still on its way.
	shortReportInterval = 250 * time.Millisecond
	// followWait is how long control may delay its answer until an order changes.
	followWait = dragonflyduration.Second
	// ringCapacity is small, since each new item of these rings supersedes the
	// previous one.
	ringCapacity = 16
	stopTimeout  = 500 * time.Millisecond
	// gcPercent keeps the heap near 1 MB instead of 4 MB. Each machine with an engine has
	// an agent, whose polls allocate a little at a time.
	gcPercent = 25
)

// failuresUntilUnreachable is the number of consecutive polls that must fail
// before the engine counts as silent or unreachable, unless its port refuses
// connections, so that no second poll is needed. A single poll may fail because a connection was reset.
const failuresUntilUnreachable = 2

// Agent is the agent of one engine. Settings, Report, Order and Connect must be
// set before Run.
type Agent struct {
	// Settings are the agent's settings.
	Settings dragonflytendsettings.Settings
	// Report requests the engine's state. Order sends an order to the engine and
	// returns the HTTP status of the answer.
	Report func(ctx context.Context, timeout time.Duration) (dragonflyobservation.Observation, error)
	Order  func(ctx context.Context, timeout time.Duration, o dragonflyserverorder.Order) (status int, err error)
	// Connect opens a connection to the engine and closes it.
	Connect func(ctx context.Context, timeout time.Duration) error

	// Reseed returns the addresses of control instances that the settings file
	// lists at the time of the call. If Reseed is nil, those of Settings stay.
	Reseed func() []string

	start        uint64 // identifies this start in reports
	pool         dragonflypool.Pool
	reports      *dragonflyring.Ring[dragonflyobservation.Observation] // to control
	orders       *dragonflyring.Ring[dragonflyserverorder.Order]       // from control
	observed     dragonflylatest.Latest[dragonflyobservation.Observation]
	currentOrder dragonflylatest.Latest[dragonflyserverorder.Order]
	refusal      dragonflylatest.Latest[refusal]
}

// Run manages the engine until ctx is cancelled. The engine keeps running without
// the agent.
func (a *Agent) Run(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessagef(err, "agent %s", a.Settings.Name) }()
	if a.Settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(a.Settings.MemoryLimit / 2)
	}
	debug.SetGCPercent(gcPercent)
	a.start = rand.Uint64() | 1 // 0 stands for a heartbeat.
	a.pool.Name = "tender"
	a.reports = dragonflyring.New[dragonflyobservation.Observation]("tender-reports", ringCapacity)
	a.orders = dragonflyring.New[dragonflyserverorder.Order]("tender-orders", ringCapacity)
	duties := map[string]func(ctx context.Context) error{
		"poll": a.poll, "report": a.report, "follow": a.follow, "execute": a.execute,
	}
	if a.Settings.MetricsListen != "" {
		l, err := net.Listen("tcp", a.Settings.MetricsListen)
		if err != nil {
			return err
		}
		duties["metrics"] = func(ctx context.Context) error { return (&dragonflydebugserver.Server{}).Serve(ctx, l) }
	}
	for name, duty := range duties {
		if err := a.pool.Start(ctx, name, duty); err != nil {
			return err
		}
	}
	slog.Info("agent started", "agent", a.Settings.Name, "engine", a.Settings.Engine)
	<-ctx.Done()
	wait, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = a.pool.Wait(wait)
	slog.Info("agent stopped", "agent", a.Settings.Name)
	return nil
}

// poll requests the engine's state periodically and passes it to the report duty
// when it has changed or reportInterval has passed.
func (a *Agent) poll(ctx context.Context) error {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	var reported dragonflyobservation.Observation
	var reportedAt time.Time
	var group dragonflyenginegroup.Group // that the engine has last been seen in
	sequence, failures, hasNewState := uint64(0), 0, false
	for {
		began := time.Now()
		o, err := a.Report(ctx, pollTimeout)
		switch {
		case err == nil:
			failures, group = 0, o.Group
			o.RefusedEpoch = a.refusal.Load().epochFor(o)
		case time.Since(began) < pollTimeout+ownDelay:
			failures++
		}
		conclusive := true
		if err != nil {
			o, conclusive = a.probeConnection(ctx, reported.State == dragonflyobservation.Silent)
		}
		if err == nil || o.Refused || conclusive && failures >= failuresUntilUnreachable {
			if o.State != reported.State {
				slog.Info("engine state", "engine", a.Settings.Engine, "state", o.State, "error", err)
			}
			a.observed.Store(o)
			if o.Refused {
				o.Group = group // A leader that does not know the address knows the group.
			}
			interval := reportInterval
			if o.State == dragonflyobservation.Unreachable || hasNewState {
				interval = shortReportInterval
			}
			// Control gives no order before it knows of the ones that the engine has accepted.
			if !o.SameStatus(reported) || o.Orders != reported.Orders || time.Since(reportedAt) >= interval {
				sequence++
				o.Reporter, o.Sequence = a.start, sequence
				if a.reports.TryPut(o) == nil {
					hasNewState = reportedAt.IsZero() || o.State != reported.State
					reported, reportedAt = o, time.Now()
				}
			}
		}
		interval := pollInterval
		if k := a.currentOrder.Load().Kind; o.Busy || k != 0 && k != dragonflyserverorder.Stage {
			interval = busyPollInterval
		}
		timer.Reset(interval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// probeConnection connects to an engine that has failed a poll, to distinguish an
// unreachable engine from a silent one. It is not conclusive if this process did not run in
// time. WasSilent reports whether the engine has been silent: a paused one takes connections
// until its queue of them is full.
func (a *Agent) probeConnection(ctx context.Context, wasSilent bool) (o dragonflyobservation.Observation, conclusive bool) {
	o = dragonflyobservation.Observation{Address: a.Settings.Engine, State: dragonflyobservation.Unreachable}
	began := time.Now()
	err := a.Connect(ctx, connectTimeout)
	var netErr net.Error
	timedOut := errors.As(err, &netErr) && netErr.Timeout()
	if err == nil || wasSilent && timedOut {
		o.State = dragonflyobservation.Silent
	}
	o.Refused = errors.Is(err, syscall.ECONNREFUSED)
	return o, !timedOut || time.Since(began) < connectTimeout+ownDelay
}

// report sends reports to control. A newer report replaces one that is waiting, or that no
// instance has taken yet.
func (a *Agent) report(ctx context.Context) error {
	f := &dragonflycontrolfollower.Follower{Seeds: a.Settings.Control, Reseed: a.Reseed}
	var o dragonflyobservation.Observation
	f.Renew = func() dragonflyfollowrequest.Request {
		o = a.latestReport(o)
		return a.followRequest(0, o)
	}
	for {
		first, err := a.reports.Take(ctx)
		if err != nil {
			return err
		}
		o = a.latestReport(first)
		n, err := f.Follow(ctx, a.followRequest(0, o))
		if err != nil {
			return err
		}
		_ = a.orders.TryPut(n.Order)
	}
}

// latestReport returns the newest report that waits, o if none does.
func (a *Agent) latestReport(o dragonflyobservation.Observation) dragonflyobservation.Observation {
	for {
		select {
		case o = <-a.reports.C():
		default:
			return o
		}
	}
}

// follow receives orders from control by long polling.
func (a *Agent) follow(ctx context.Context) error {
	f := &dragonflycontrolfollower.Follower{Seeds: a.Settings.Control, Reseed: a.Reseed}
	for {
		n, err := f.Follow(ctx, a.followRequest(followWait))
		if err != nil {
			return err
		}
		a.currentOrder.Store(n.Order)
		if err := a.orders.Put(ctx, n.Order); err != nil {
			return err
		}
	}
}

func (a *Agent) followRequest(wait dragonflyduration.Duration, reports ...dragonflyobservation.Observation) dragonflyfollowrequest.Request {
	return dragonflyfollowrequest.Request{
		Process: a.Settings.Name, Role: dragonflyfollowrequest.Agent, Wait: wait, Reports: reports,
		Address: a.Settings.Engine, Order: a.currentOrder.Load(),
	}
}
