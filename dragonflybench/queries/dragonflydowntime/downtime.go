// Package dragonflydowntime computes what a fault of groups cost from readings of
// the state of control.
package dragonflydowntime

import (
	"dragonflyrelay.example/dragonflybench/values/dragonflygroupsample"
	"dragonflyrelay.example/dragonflybench/values/dragonflygrouptrial"
	"dragonflyrelay.example/library/common/dragonflyduration"
)

// Fault is what was brought about.
type Fault struct {
	// Scenario names the fault.
	Scenario string
	// At is when it happened, in ns on the clock of the samples.
	At int64
	// Lost lists the instances that cannot serve from then on.
	Lost []string
	// Instances is the number of all instances before the fault, with one
	// accelerator each.
	Instances int
	// LoadTime is the engine's time to load.
	LoadTime dragonflyduration.Duration
}

// Trial returns what the fault cost. The first sample is the last one before the
// fault; the others follow in order of time.
func Trial(f Fault, samples []dragonflygroupsample.Sample) dragonflygrouptrial.Trial {
	t := dragonflygrouptrial.Trial{Scenario: f.Scenario, LoadTime: f.LoadTime}
	if len(samples) == 0 {
		return t
	}
	before := samples[0]
	hit := affectedGroups(f.Lost, before)
	t.Groups = len(hit)
	spares := f.Instances - servingInstances(before, nil)
	lost := set(f.Lost)
	stranded := func(s dragonflygroupsample.Sample) int {
		return max(f.Instances-len(f.Lost)-servingInstances(s, lost)-spares, 0)
	}
	at, wasted := f.At, stranded(before)
	for _, s := range samples[1:] {
		since := dragonflyduration.Duration(s.At - f.At)
		if !t.Detected && noneMatch(hit, func(g uint64) bool { return s.Ready[g] }) {
			t.Detected, t.Detection = true, since
		}
		if !t.Decided && noneMatch(hit, func(g uint64) bool { return s.Members[g] != nil }) {
			t.Decided, t.Decision = true, since-t.Detection
		}
		// Until control detects the fault, its table shows groups that cannot
		// serve, so groups with a lost member never count as serving.
		if !t.Repaired && intactGroups(s, lost) >= len(before.Ready) {
			t.Repaired, t.Downtime = true, since-f.LoadTime
		}
		t.Stranded += float64(wasted) * dragonflyduration.Duration(s.At-at).Seconds()
		at, wasted = s.At, stranded(s)
		t.Observed = since
	}
	return t
}

// affectedGroups returns the groups that serve and have a lost member.
func affectedGroups(lost []string, s dragonflygroupsample.Sample) (hit []uint64) {
	gone := set(lost)
	for g := range s.Ready {
		if containsLost(s.Members[g], gone) {
			hit = append(hit, g)
		}
	}
	return hit
}

func set(names []string) map[string]bool {
	m := map[string]bool{}
	for _, n := range names {
		m[n] = true
	}
	return m
}

func containsLost(members []string, gone map[string]bool) bool {
	for _, m := range members {
		if gone[m] {
			return true
		}
	}
	return false
}

func noneMatch(groups []uint64, is func(g uint64) bool) bool {
	for _, g := range groups {
		if is(g) {
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
