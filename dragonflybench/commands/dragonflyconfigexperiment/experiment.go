// Package dragonflyconfigexperiment measures how long a configuration change takes
// to reach every process, and how long no change is accepted after the leader stops.
package dragonflyconfigexperiment

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"dragonflyrelay.example/dragonflybench/codecs/dragonflyresultjson"
	"dragonflyrelay.example/dragonflybench/commands/dragonflytestsystem"
	"dragonflyrelay.example/dragonflybench/queries/dragonflyloadtable"
	"dragonflyrelay.example/dragonflybench/queries/dragonflypropagation"
	"dragonflyrelay.example/dragonflybench/values/dragonflyadoption"
	"dragonflyrelay.example/dragonflybench/values/dragonflyconfigresult"
	"dragonflyrelay.example/library/common/dragonflyclock"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyclass"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

const (
	// propagationTarget bounds the time from the acceptance of a change until every
	// agent and entry follows it (I10 of the design page). failoverTarget bounds the
	// time from the stop of the leader until a change is accepted again.
	propagationTarget = 3 * dragonflyduration.Second
	failoverTarget    = 2 * dragonflyduration.Second
	// adoptionTimeout bounds the wait until all processes follow a version, and
	// the wait for a change to be accepted after the leader has stopped.
	adoptionTimeout = 30 * time.Second
	pollInterval    = 20 * time.Millisecond
	controls        = 3
)

// Command returns the command that runs the experiment.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "measure how fast configuration changes are in force everywhere",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "agents", Usage: "number of agents", Value: 200},
			&cli.IntFlag{Name: "entries", Usage: "number of entries", Value: 2},
			&cli.IntFlag{Name: "changes", Usage: "number of changes", Value: 50},
			&cli.DurationFlag{Name: "interval", Usage: "time between changes", Value: 700 * time.Millisecond},
			&cli.StringFlag{Name: "out", Usage: "file for the result"},
			&cli.StringFlag{Name: "note", Usage: "state of the machine, recorded in the result"},
		},
		Action: run,
	}
}

// experiment is one run. The goroutines of agents and entries append to adoptions
// while the goroutine of the run polls it.
type experiment struct {
	system      *dragonflytestsystem.System
	clock       dragonflyclock.Clock
	processes   []string
	version     uint64
	acceptedAt  map[uint64]int64 // ns on clock, by version
	acceptTimes []dragonflyduration.Duration

	mu        sync.Mutex
	adoptions []dragonflyadoption.Adoption // guarded by mu
}

func run(ctx context.Context, cmd *cli.Command) (err error) {
	if cmd.Int("agents") < 1 || cmd.Int("entries") < 1 || cmd.Int("changes") < 1 || cmd.Duration("interval") <= 0 {
		return errors.New("agents, entries, changes and interval must be above 0")
	}
	folder, err := os.MkdirTemp("", "dragonflybench-config-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	e := &experiment{acceptedAt: map[uint64]int64{}}
	e.system = &dragonflytestsystem.System{Folder: folder, Adopted: e.adopted}
	r, err := e.measure(ctx, cmd)
	if stopErr := e.system.Stop(); err == nil {
		err = stopErr
	}
	if err != nil {
		return err
	}
	fmt.Print(dragonflyloadtable.Config(r))
	if cmd.String("out") == "" {
		return nil
	}
	raw, err := dragonflyresultjson.MarshalConfig(r, cmd.String("note"))
	if err != nil {
		return err
	}
	return errors.WithMessage(os.WriteFile(cmd.String("out"), append(raw, '\n'), 0o644), "write the result")
}

func (e *experiment) measure(ctx context.Context, cmd *cli.Command) (r dragonflyconfigresult.Result, err error) {
	if err := e.start(ctx, cmd.Int("agents"), cmd.Int("entries")); err != nil {
		return r, err
	}
	for range cmd.Int("changes") {
		if err := e.proposeChange(ctx, true); err != nil {
			return r, err
		}
		if err := wait(ctx, cmd.Duration("interval")); err != nil {
			return r, err
		}
	}
	// A version that is not in force everywhere by now counts as missing.
	_ = e.awaitAdoption(ctx)
	failover, err := e.failover(ctx)
	if err != nil {
		return r, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	times, missing := dragonflypropagation.Times(e.acceptedAt, e.processes, e.adoptions)
	return dragonflyconfigresult.Result{
		Controls: controls, Agents: cmd.Int("agents"), Entries: cmd.Int("entries"),
		Accept: dragonflypropagation.Quantiles(e.acceptTimes), Propagation: dragonflypropagation.Quantiles(times), Missing: missing,
		PropagationTarget: propagationTarget, FailoverTarget: failoverTarget,
		Failovers: []dragonflyduration.Duration{failover},
	}, nil
}

// start starts all processes and returns once each of them follows a first change.
func (e *experiment) start(ctx context.Context, agents, entries int) (err error) {
	defer func() { err = errors.WithMessage(err, "start the system") }()
	if err := e.system.StartControls(controls); err != nil {
		return err
	}
	for i := range agents {
		name := fmt.Sprintf("agent-%03d", i)
		if _, err := e.system.StartAgent(ctx, name, fmt.Sprintf("zone-%d", i%3), fmt.Sprintf("domain-%d", i%12), i%controls); err != nil {
			return err
		}
		e.processes = append(e.processes, name)
	}
	for i := range entries {
		name := fmt.Sprintf("entry-%d", i)
		if err := e.system.StartEntry(name, fmt.Sprintf("zone-%d", i%3)); err != nil {
			return err
		}
		e.processes = append(e.processes, name)
	}
	if err := e.proposeChange(ctx, false); err != nil {
		return err
	}
	return e.awaitAdoption(ctx)
}

// proposeChange proposes a change of a class; its times enter the result only if
// measured is true.
func (e *experiment) proposeChange(ctx context.Context, measured bool) error {
	sent := e.clock.Now()
	res, err := e.system.Propose(ctx, dragonflychange.Change{
		ID: fmt.Sprintf("config-%d", e.version+1), Kind: dragonflychange.SetClass, Operator: "bench",
		At: time.Now().UnixNano(), Base: e.version,
		Class: dragonflyclass.Class{}.WithName("interactive").WithAnswered(900 + int(e.version%100)).WithComplete(1000).
			WithFirstToken(410 * dragonflyduration.Millisecond).WithGap(25 * dragonflyduration.Millisecond),
	})
	if err != nil {
		return err
	}
	now := e.clock.Now()
	e.version = res.Version
	if measured {
		e.acceptedAt[res.Version] = int64(now)
		e.acceptTimes = append(e.acceptTimes, now.Sub(sent))
	}
	return nil
}

// awaitAdoption waits until every process follows the latest version.
func (e *experiment) awaitAdoption(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, adoptionTimeout)
	defer cancel()
	return dragonflytestsystem.WaitUntil(ctx, pollInterval, func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		_, missing := dragonflypropagation.Times(map[uint64]int64{e.version: 0}, e.processes, e.adoptions)
		return missing == 0
	})
}

// failover stops the leader and returns the time until the next change is accepted.
func (e *experiment) failover(ctx context.Context) (elapsed dragonflyduration.Duration, err error) {
	st, err := e.system.Status(ctx)
	if err != nil {
		return 0, err
	}
	stopped := e.clock.Now()
	e.system.StopPart(st.Leader)
	ctx, cancel := context.WithTimeout(ctx, adoptionTimeout)
	defer cancel()
	err = e.proposeChange(ctx, false)
	return e.clock.Now().Sub(stopped), err
}

func (e *experiment) adopted(process string, version uint64) {
	at := int64(e.clock.Now())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.adoptions = append(e.adoptions, dragonflyadoption.Adoption{Process: process, Version: version, At: at})
}

func wait(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
