package dragonflygroupsexperiment

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"dragonflyrelay.example/dragonflybench/queries/dragonflydowntime"
	"dragonflyrelay.example/dragonflybench/values/dragonflygroupsample"
	"dragonflyrelay.example/dragonflybench/values/dragonflygrouptrial"
	"github.com/pkg/errors"
)

// Names of the faults.
const (
	memberDeath = "member-death"
	headDeath   = "head-death"
	enginePause = "engine-pause"
	domainLoss  = "domain-loss"
	secondLoss  = "second-loss"
)

// freezeTime is well above the group lease of 1.2 s and the 3 s without reports
// after which an upstream counts as failed.
const freezeTime = 8 * time.Second

// faults maps the name of a fault to the function that injects it and returns its cost.
var faults = map[string]func(ctx context.Context, e *experiment) ([]dragonflygrouptrial.Trial, error){
	memberDeath: func(ctx context.Context, e *experiment) ([]dragonflygrouptrial.Trial, error) {
		return e.crashOne(ctx, memberDeath, 1)
	},
	headDeath: func(ctx context.Context, e *experiment) ([]dragonflygrouptrial.Trial, error) {
		return e.crashOne(ctx, headDeath, 0)
	},
	enginePause: freezeEngine,
	domainLoss:  loseDomain,
	secondLoss:  loseTwice,
}

// crashOne kills the member of the given rank of a group whose domain has a spare.
func (e *experiment) crashOne(ctx context.Context, name string, rank int) ([]dragonflygrouptrial.Trial, error) {
	before, members, err := e.chooseGroup(ctx, domainWithSpare)
	if err != nil {
		return nil, err
	}
	t, _ := e.observeRepair(ctx, before, e.crash(name, members[rank]))
	return []dragonflygrouptrial.Trial{t}, nil
}

// freezeEngine freezes the engine of a member while the agent keeps running.
func freezeEngine(ctx context.Context, e *experiment) ([]dragonflygrouptrial.Trial, error) {
	before, members, err := e.chooseGroup(ctx, domainWithSpare)
	if err != nil {
		return nil, err
	}
	body := fmt.Appendf(nil, `{"freeze-ms":%d}`, freezeTime.Milliseconds())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.system.Engine(members[1])+"/faults", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	f := e.newFault(enginePause, members[1])
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, errors.Errorf("freeze: status %d", res.StatusCode)
	}
	t, _ := e.observeRepair(ctx, before, f)
	return []dragonflygrouptrial.Trial{t}, nil
}

// loseDomain kills all instances of a fabric domain whose only group uses all of them.
func loseDomain(ctx context.Context, e *experiment) ([]dragonflygrouptrial.Trial, error) {
	before, members, err := e.chooseGroup(ctx, domainWithoutSpare)
	if err != nil {
		return nil, err
	}
	t, _ := e.observeRepair(ctx, before, e.crash(domainLoss, members...))
	return []dragonflygrouptrial.Trial{t}, nil
}

// loseTwice kills a member of a group and, as soon as the repaired group serves, a
// member of that one. The first repair uses the only spare of the domain.
func loseTwice(ctx context.Context, e *experiment) ([]dragonflygrouptrial.Trial, error) {
	before, members, err := e.chooseGroup(ctx, domainWithSpare)
	if err != nil {
		return nil, err
	}
	first, after := e.observeRepair(ctx, before, e.crash(secondLoss+"-1", members[1]))
	if !first.Repaired {
		return []dragonflygrouptrial.Trial{first}, nil
	}
	var repaired []string
	for g, m := range after.Members {
		if after.Ready[g] && slices.Contains(m, members[0]) {
			repaired = m
		}
	}
	if repaired == nil {
		return nil, errors.New("the survivor of the first loss serves in no group")
	}
	second, _ := e.observeRepair(ctx, after, e.crash(secondLoss+"-2", repaired[1]))
	return []dragonflygrouptrial.Trial{first, second}, nil
}

// chooseGroup returns the state of the system and the members of a serving group in
// a domain with the given suffix.
func (e *experiment) chooseGroup(ctx context.Context, suffix string) (before dragonflygroupsample.Sample, members []string, err error) {
	if before, err = e.sample(ctx); err != nil {
		return before, nil, err
	}
	members, err = e.groupIn(before, suffix)
	return before, members, err
}

// groupIn returns the members of the serving group with the lowest id whose
// members are all in one domain with the given suffix.
func (e *experiment) groupIn(s dragonflygroupsample.Sample, suffix string) (members []string, err error) {
	var ids []uint64
	for g := range s.Ready {
		ids = append(ids, g)
	}
	slices.Sort(ids)
	for _, g := range ids {
		m := s.Members[g]
		if len(m) == groupSize && domainOf(m[0]) == domainOf(m[1]) && strings.HasSuffix(domainOf(m[0]), suffix) {
			return m, nil
		}
	}
	return nil, errors.Errorf("no group serves in a %s domain", suffix)
}

func domainOf(instance string) string { return instance[:strings.LastIndex(instance, "-")] }

// crash kills the instances and returns the description of the fault.
func (e *experiment) crash(name string, instances ...string) dragonflydowntime.Fault {
	f := e.newFault(name, instances...)
	for _, i := range instances {
		e.system.Crash(i)
	}
	e.instances -= len(instances)
	return f
}
