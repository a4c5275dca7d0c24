// Package dragonflyoverheadresult compares direct calls of a stand-in engine with
// calls through the system.
package dragonflyoverheadresult

import (
	"dragonflyrelay.example/dragonflybench/values/dragonflyloadresult"
	"dragonflyrelay.example/library/common/dragonflyduration"
)

// Targets for the latency that the system adds at the median and at the 99th
// percentile.
const (
	TargetP50 = 1 * dragonflyduration.Millisecond
	TargetP99 = 4 * dragonflyduration.Millisecond
)

// comparison compares one quantile of the two paths.
type comparison struct {
	// Name is the name of the quantile.
	Name string
	// Direct and Through are the times without and with the system.
	Direct, Through dragonflyduration.Duration
	// Target is the upper bound of their difference.
	Target dragonflyduration.Duration
}

// Met reports whether the difference is within the target.
func (c comparison) Met() bool { return c.Through-c.Direct <= c.Target }

// Result holds the results of the two paths.
type Result struct {
	// Direct is the result of direct calls, Through that of calls through entry and
	// agent.
	Direct, Through dragonflyloadresult.Result
}

// Comparisons returns the compared quantiles. The time to the first token is measured
// from sending, because the system does not cause the lateness of the generator.
func (r Result) Comparisons() []comparison {
	d, t := r.Direct, r.Through
	return []comparison{
		{"first token p50", d.FirstTokenFromSend.P50, t.FirstTokenFromSend.P50, TargetP50},
		{"first token p99", d.FirstTokenFromSend.P99, t.FirstTokenFromSend.P99, TargetP99},
		{"gap p50", d.Gap.P50, t.Gap.P50, TargetP50},
		{"gap p99", d.Gap.P99, t.Gap.P99, TargetP99},
	}
}

// Met reports whether all targets are met, every answer was complete and both paths
// had at least one request.
func (r Result) Met() bool {
	for _, c := range r.Comparisons() {
		if !c.Met() {
			return false
		}
	}
	return r.Direct.Requests > 0 && r.Through.Requests > 0 &&
		r.Direct.Outcomes["whole"] == r.Direct.Requests && r.Through.Outcomes["whole"] == r.Through.Requests
}
