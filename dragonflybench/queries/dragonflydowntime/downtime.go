// Package dragonflydowntime computes from samples of the state of control how long
// a fault keeps groups from serving and how much accelerator time it wastes.
package dragonflydowntime

import (
	"dragonflyrelay.example/dragonflybench/values/dragonflygroupsample"
	"dragonflyrelay.example/dragonflybench/values/dragonflygrouptrial"
	"dragonflyrelay.example/library/common/dragonflyduration"
)

// Fault describes a fault that was injected.
type Fault struct {
	// Scenario is the name of the fault.
	Scenario string
	// At is the time of the fault, in ns on the clock of the samples.
	At int64
	// Lost lists the instances that cannot serve after the fault.
	Lost []string
	// Instances is the number of all instances before the fault, with one
	// accelerator each.
	Instances int
	// LoadTime is the time in which the engine loads its model.
	LoadTime dragonflyduration.Duration
}

// Trial returns the downtime and the wasted accelerator time of the fault. The first sample is the last one before the
// fault; the others follow in order of time.
func Trial(f Fault, samples []dragonflygroupsample.Sample) dragonflygrouptrial.Trial {
	t := dragonflygrouptrial.Trial{Scenario: f.Scenario, LoadTime: f.LoadTime}
	if len(samples) == 0 {
		return t
	}
	before := samples[0]
	affected := affectedGroups(f.Lost, before)
	t.Groups = len(affected)
	spares := f.Instances - servingInstances(before, nil)
	lost := set(f.Lost)
	stranded := func(s dragonflygroupsample.Sample) int {
		return max(f.Instances-len(f.Lost)-servingInstances(s, lost)-spares, 0)
	}
	at, strandedCount := f.At, stranded(before)
	for _, s := range samples[1:] {
		since := dragonflyduration.Duration(s.At - f.At)
		if !t.Detected && noneMatch(affected, func(g uint64) bool { return s.Ready[g] }) {
			t.Detected, t.Detection = true, since
		}
		if !t.Decided && noneMatch(affected, func(g uint64) bool { return s.Members[g] != nil }) {
			t.Decided, t.Decision = true, since-t.Detection
		}
		// Until control detects the fault, it lists groups as ready that cannot
		// serve, so a group with a lost member never counts as serving.
		if !t.Repaired && intactGroups(s, lost) >= len(before.Ready) {
			t.Repaired, t.Downtime = true, since-f.LoadTime
		}
		t.Stranded += float64(strandedCount) * dragonflyduration.Duration(s.At-at).Seconds()
		at, strandedCount = s.At, stranded(s)
		t.Observed = since
	}
	return t
}

// affectedGroups returns the ready groups with a lost member.
func affectedGroups(lost []string, s dragonflygroupsample.Sample) (affected []uint64) {
	lostSet := set(lost)
	for g := range s.Ready {
		if containsLost(s.Members[g], lostSet) {
			affected = append(affected, g)
		}
	}
	return affected
}

func set(names []string) map[string]bool {
	m := map[string]bool{}
	for _, n := range names {
		m[n] = true
	}
	return m
}

func containsLost(members []string, lost map[string]bool) bool {
	for _, m := range members {
		if lost[m] {
			return true
		}
	}
	return false
}

func noneMatch(groups []uint64, match func(g uint64) bool) bool {
	for _, g := range groups {
		if match(g) {
			return false
		}
	}
	return true
}

// intactGroups returns the number of ready groups without a lost member.
func intactGroups(s dragonflygroupsample.Sample, lost map[string]bool) (n int) {
	for g := range s.Ready {
		if !containsLost(s.Members[g], lost) {
			n++
		}
	}
	return n
}

// servingInstances returns the number of instances in ready groups without a lost member.
func servingInstances(s dragonflygroupsample.Sample, lost map[string]bool) (n int) {
	for g := range s.Ready {
		if !containsLost(s.Members[g], lost) {
			n += len(s.Members[g])
		}
	}
	return n
}
