package dragonflyzoneexperiment

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync"
	"time"

	"dragonflyrelay.example/dragonflybench/commands/dragonflyloadgenerator"
	"dragonflyrelay.example/dragonflybench/commands/dragonflytestsystem"
	"dragonflyrelay.example/dragonflybench/queries/dragonflyphases"
	"dragonflyrelay.example/dragonflybench/values/dragonflyloadsettings"
	"dragonflyrelay.example/dragonflybench/values/dragonflyoutcome"
	"dragonflyrelay.example/dragonflybench/values/dragonflyphase"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflypool"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyclass"
	"dragonflyrelay.example/library/values/dragonflyworkspace"
	"dragonflyrelay.example/library/values/dragonflyzone"
	"github.com/pkg/errors"
)

const (
	zones, groupsPerZone, groupSize = 3, 2, 2
	controls                        = 3
	startTimeout                    = time.Minute
	sampleInterval                  = 50 * time.Millisecond
	workspaceKey                    = "zone-experiment"
	// firstClass has priority over bulkClass: it is served first and shed last.
	firstClass, bulkClass = "first", "bulk"
	// firstToken is the target for the time to the first token, gap the target for
	// the time between tokens; both classes have the same targets.
	firstToken = 410 * dragonflyduration.Millisecond
	gap        = 25 * dragonflyduration.Millisecond
	// warmUp is the time of a load that does not enter the result, during which the
	// limits of the agents ramp up.
	warmUp = 10 * dragonflyduration.Second
)

// experiment is one system under one load.
type experiment struct {
	system     *dragonflytestsystem.System
	rate       float64
	firstShare float64
	phase      dragonflyduration.Duration
	keepZone   bool
	seed       uint64

	mu       sync.Mutex
	outcomes []dragonflyoutcome.Outcome // guarded by mu
}

// run starts the system and sends load through three phases of equal length: all
// zones in service, one zone out of service, and that zone back in service.
func (e *experiment) run(ctx context.Context) (err error) {
	if err := e.start(ctx); err != nil {
		return err
	}
	if err := e.load(ctx, warmUp, e.seed+100, nil); err != nil {
		return err
	}
	if !e.keepZone {
		operator := &dragonflypool.Pool{Name: "operator", Size: 1}
		failed := make(chan error, 1)
		if err := operator.Go(func() { failed <- e.switchZone(ctx) }); err != nil {
			return err
		}
		defer func() {
			if switchErr := <-failed; err == nil {
				err = switchErr
			}
		}()
	}
	return e.load(ctx, 3*e.phase, e.seed, e.observe)
}

// start starts all processes, configures two classes and returns once all groups
// serve.
func (e *experiment) start(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "start the system") }()
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := e.system.StartControls(controls); err != nil {
		return err
	}
	if err := e.configure(ctx); err != nil {
		return err
	}
	n := 0
	for z := range zones {
		zone := zoneName(z)
		for i := range groupsPerZone * groupSize {
			n++
			if err := e.system.StartInstance(ctx, fmt.Sprintf("%s-%d", zone, i), zone, zone+"-fabric", n%controls); err != nil {
				return err
			}
		}
		if err := e.system.StartEntry(entryName(z), zone); err != nil {
			return err
		}
	}
	return dragonflytestsystem.WaitUntil(ctx, sampleInterval, func() bool {
		st, err := e.system.Status(ctx)
		ready := 0
		for _, r := range st.Routes {
			if r.Ready {
				ready++
			}
		}
		return err == nil && ready >= zones*groupsPerZone
	})
}

func zoneName(i int) string  { return fmt.Sprintf("zone-%d", i) }
func entryName(i int) string { return fmt.Sprintf("entry-%d", i) }

func (e *experiment) configure(ctx context.Context) error {
	hash := sha256.Sum256([]byte(workspaceKey))
	class := dragonflyclass.Class{}.WithAnswered(990).WithComplete(1000).WithFirstToken(firstToken).WithGap(gap)
	changes := []dragonflychange.Change{
		{Kind: dragonflychange.SetGroupSize, GroupSize: groupSize},
		{Kind: dragonflychange.SetClass, Class: class.WithName(firstClass)},
		{Kind: dragonflychange.SetClass, Class: class.WithName(bulkClass).WithPriority(1)},
		{Kind: dragonflychange.SetWorkspace, Workspace: dragonflyworkspace.Workspace{}.WithName("experiment").
			WithKeyHash(hex.EncodeToString(hash[:])).WithClass(bulkClass)},
	}
	for i, ch := range changes {
		if err := e.propose(ctx, fmt.Sprintf("configure-%d", i), ch); err != nil {
			return err
		}
	}
	return nil
}

// propose proposes a change that is based on the latest version.
func (e *experiment) propose(ctx context.Context, id string, ch dragonflychange.Change) error {
	st, err := e.system.Status(ctx)
	if err == nil {
		ch.Base = st.Config.Version()
	}
	ch.ID, ch.Operator, ch.At = id, "bench", time.Now().UnixNano()
	_, err = e.system.Propose(ctx, ch)
	return err
}

// switchZone takes a zone out of service after the first phase and puts it back after
// the second.
func (e *experiment) switchZone(ctx context.Context) error {
	for i, out := range []bool{true, false} {
		select {
		case <-time.After(time.Duration(e.phase)):
		case <-ctx.Done():
			return ctx.Err()
		}
		zone := dragonflyzone.Zone{}.WithName(zoneName(0)).WithOut(out)
		if err := e.propose(ctx, fmt.Sprintf("zone-%d", i), dragonflychange.Change{Kind: dragonflychange.SetZone, Zone: zone}); err != nil {
			return err
		}
	}
	return nil
}

// load sends requests through all entries for the time d and passes each outcome to
// observe.
func (e *experiment) load(ctx context.Context, d dragonflyduration.Duration, seed uint64, observe func(o dragonflyoutcome.Outcome)) error {
	pool := &dragonflypool.Pool{Name: "load", Size: zones}
	failed := make(chan error, zones)
	for i := range zones {
		addr, err := e.system.EntryAddress(ctx, entryName(i))
		if err != nil {
			return err
		}
		cfg := dragonflyloadsettings.Settings{
			Base: "http://" + addr, Rate: e.rate / zones, Duration: d, Seed: seed*zones + uint64(i),
			AnswerMedian: 60, AnswerMax: 400, Sigma: 0.5,
		}
		cfg = cfg.WithWorkspace("experiment", workspaceKey, 1).
			WithClass(firstClass, e.firstShare, firstToken, gap, 990).
			WithClass(bulkClass, 1-e.firstShare, firstToken, gap, 990)
		g := &dragonflyloadgenerator.Generator{Settings: cfg, Observe: observe}
		if err := pool.Go(func() {
			_, err := g.Run(ctx)
			failed <- err
		}); err != nil {
			return err
		}
	}
	for range zones {
		if err := <-failed; err != nil {
			return err
		}
	}
	return nil
}

func (e *experiment) observe(o dragonflyoutcome.Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.outcomes = append(e.outcomes, o)
}

// phases returns the outcomes aggregated by phase and class.
func (e *experiment) phases() []dragonflyphase.Phase {
	names := []string{"before", "out", "back"}
	if e.keepZone {
		names = []string{"first", "second", "third"}
	}
	var boundaries []dragonflyphases.Boundary
	for i, name := range names {
		boundaries = append(boundaries, dragonflyphases.Boundary{Name: name, From: dragonflyduration.Duration(i) * e.phase})
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return dragonflyphases.Sum(boundaries, []string{firstClass, bulkClass}, e.outcomes)
}
