// Package dragonflyconfigresult holds the result of the experiment that measures the
// propagation of configuration changes.
package dragonflyconfigresult

import (
	"dragonflyrelay.example/dragonflybench/values/dragonflyquantiles"
	"dragonflyrelay.example/library/common/dragonflyduration"
)

// Result is the result of one run.
type Result struct {
	// Controls, Agents and Entries are the numbers of processes.
	Controls, Agents, Entries int
	// Accept is the time from the proposal of a change to its acceptance.
	Accept dragonflyquantiles.Quantiles
	// Propagation is, for each change, the time from its acceptance until the last
	// agent or entry follows it. Missing is the number of changes that at least one
	// of them did not follow.
	Propagation dragonflyquantiles.Quantiles
	Missing     int
	// PropagationTarget and FailoverTarget are the target upper bounds.
	PropagationTarget, FailoverTarget dragonflyduration.Duration
	// Failovers lists, for each stop of the leader, the time until the next change
	// was accepted.
	Failovers []dragonflyduration.Duration
}

// PropagationMet reports whether every change was in force everywhere within
// the target.
func (r Result) PropagationMet() bool {
	return r.Missing == 0 && r.Propagation.Max <= r.PropagationTarget
}

// FailoverMet reports whether a change was accepted within the target after each stop
// of the leader, of which there was at least one.
func (r Result) FailoverMet() bool {
	for _, d := range r.Failovers {
		if d > r.FailoverTarget {
			return false
		}
	}
	return len(r.Failovers) > 0
}
