// Package dragonflyconfigresult is the result of the experiment on the spread
// of configuration changes.
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
	// agent or entry follows it. Missing counts changes that some did not follow.
	Propagation dragonflyquantiles.Quantiles
	Missing     int
	// PropagationTarget and FailoverTarget are the bounds that are stated.
	PropagationTarget, FailoverTarget dragonflyduration.Duration
	// Failovers holds, for each time that the leader was stopped, the time until
	// the next change was accepted.
	Failovers []dragonflyduration.Duration
}

// PropagationMet reports whether every change was in force in time.
func (r Result) PropagationMet() bool {
	return r.Missing == 0 && r.Propagation.Max <= r.PropagationTarget
}

// FailoverMet reports whether a change was accepted in time after each stop.
func (r Result) FailoverMet() bool {
	for _, d := range r.Failovers {
		if d > r.FailoverTarget {
			return false
		}
	}
	return len(r.Failovers) > 0
}
