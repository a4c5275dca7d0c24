package dragonflygroupsexperiment

import (
	"context"
	"fmt"
	"time"

	"dragonflyrelay.example/dragonflybench/commands/dragonflytestsystem"
	"dragonflyrelay.example/dragonflybench/queries/dragonflydowntime"
	"dragonflyrelay.example/dragonflybench/values/dragonflyenginesettings"
	"dragonflyrelay.example/dragonflybench/values/dragonflygroupsample"
	"dragonflyrelay.example/dragonflybench/values/dragonflygrouptrial"
	"dragonflyrelay.example/library/common/dragonflyclock"
	"dragonflyrelay.example/library/values/dragonflychange"
	"github.com/pkg/errors"
)

const (
	groupSize = 2
	zones     = 3
	controls  = 3
	// domainWithSpare and domainWithoutSpare are the suffixes of the names of a
	// zone's two fabric domains: the first has one instance more than its group
	// needs, the second has none.
	domainWithSpare, domainWithoutSpare = "wide", "narrow"
	groups                              = 2 * zones
	startTimeout                        = time.Minute
	// sampleInterval is the time between samples and so the resolution of the
	// measured times.
	sampleInterval = 20 * time.Millisecond
)

// experiment is one system into which faults are injected.
type experiment struct {
	system    *dragonflytestsystem.System
	clock     dragonflyclock.Clock
	domains   map[string][]string // names of the instances by fabric domain
	instances int                 // number that have not been killed
	observe   time.Duration       // longest time to wait for a repair
}

// start starts all processes and returns once all groups serve.
func (e *experiment) start(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "start the system") }()
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := e.system.StartControls(controls); err != nil {
		return err
	}
	if _, err := e.system.Propose(ctx, dragonflychange.Change{
		ID: "groups-1", Kind: dragonflychange.SetGroupSize, Operator: "bench", At: time.Now().UnixNano(), GroupSize: groupSize,
	}); err != nil {
		return err
	}
	for z := range zones {
		zone := fmt.Sprintf("zone-%d", z)
		for domain, n := range map[string]int{zone + "-" + domainWithSpare: groupSize + 1, zone + "-" + domainWithoutSpare: groupSize} {
			for range n {
				if err := e.startInstance(ctx, zone, domain); err != nil {
					return err
				}
			}
		}
		if err := e.system.StartEntry(fmt.Sprintf("entry-%d", z), zone); err != nil {
			return err
		}
	}
	return dragonflytestsystem.WaitUntil(ctx, sampleInterval, func() bool {
		s, err := e.sample(ctx)
		return err == nil && len(s.Ready) >= groups
	})
}

func (e *experiment) startInstance(ctx context.Context, zone, domain string) error {
	name := fmt.Sprintf("%s-%d", domain, len(e.domains[domain]))
	e.domains[domain] = append(e.domains[domain], name)
	e.instances++
	return e.system.StartInstance(ctx, name, zone, domain, e.instances%controls)
}

// sample reads the groups and routes from the leader of control.
func (e *experiment) sample(ctx context.Context) (s dragonflygroupsample.Sample, err error) {
	st, err := e.system.Status(ctx)
	if err != nil {
		return s, err
	}
	s = dragonflygroupsample.Sample{At: int64(e.clock.Now()), Members: map[uint64][]string{}, Ready: map[uint64]bool{}}
	for _, g := range st.Groups {
		for _, m := range g.Members {
			s.Members[g.ID] = append(s.Members[g.ID], m.Instance)
		}
	}
	for _, r := range st.Routes {
		if r.Ready && s.Members[r.Group] != nil {
			s.Ready[r.Group] = true
		}
	}
	return s, nil
}

// newFault returns the description of a fault that is injected now.
func (e *experiment) newFault(name string, lost ...string) dragonflydowntime.Fault {
	return dragonflydowntime.Fault{
		Scenario: name, At: int64(e.clock.Now()), Lost: lost, Instances: e.instances,
		LoadTime: dragonflyenginesettings.Settings{}.WithDefaults().LoadTime,
	}
}

// observeRepair samples the system until it is repaired or the observation time has
// passed. It returns the cost of the fault and the last sample.
func (e *experiment) observeRepair(ctx context.Context, before dragonflygroupsample.Sample, f dragonflydowntime.Fault) (t dragonflygrouptrial.Trial, last dragonflygroupsample.Sample) {
	ctx, cancel := context.WithTimeout(ctx, e.observe)
	defer cancel()
	samples := []dragonflygroupsample.Sample{before}
	_ = dragonflytestsystem.WaitUntil(ctx, sampleInterval, func() bool {
		if s, err := e.sample(ctx); err == nil {
			samples = append(samples, s)
		}
		t = dragonflydowntime.Trial(f, samples)
		return t.Repaired
	})
	return t, samples[len(samples)-1]
}
