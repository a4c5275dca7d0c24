// Package dragonflygrouptrial holds the measured effect of one fault on the groups.
package dragonflygrouptrial

import "dragonflyrelay.example/library/common/dragonflyduration"

// Trial is the measured effect of one fault. Unless stated otherwise, times are
// measured from the fault, which is the last moment at which the affected groups
// could serve.
type Trial struct {
	// Scenario is the name of the fault.
	Scenario string
	// Groups is the number of groups that the fault affected.
	Groups int
	// Detected is true if control marked every affected group as unable to serve;
	// Detection is the time until then.
	Detected  bool
	Detection dragonflyduration.Duration
	// Decided is true if control recorded the end of every affected group; Decision
	// is the time from detection until then.
	Decided  bool
	Decision dragonflyduration.Duration
	// Repaired is true if as many groups served again as before the fault. Downtime
	// is the time until then, less LoadTime, in which the engine loads its model.
	Repaired bool
	Downtime dragonflyduration.Duration
	LoadTime dragonflyduration.Duration
	// Stranded is the integral over the observed time, in accelerator-seconds, of the
	// number of healthy accelerators that serve in no group, beyond the spares.
	Stranded float64
	// Observed is the time from the fault to the last sample.
	Observed dragonflyduration.Duration
}

// Met reports whether the sum of detection and decision is at most target.
func (t Trial) Met(target dragonflyduration.Duration) bool {
	return t.Detected && t.Decided && t.Detection+t.Decision <= target
}
