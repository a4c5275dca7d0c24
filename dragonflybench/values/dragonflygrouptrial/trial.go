// Package dragonflygrouptrial is the result of one fault of groups.
package dragonflygrouptrial

import "dragonflyrelay.example/library/common/dragonflyduration"

// Trial is what one fault cost. Times run from the moment of the fault, which is
// the last moment at which the group could serve.
type Trial struct {
	// Scenario names the fault.
	Scenario string
	// Groups is the number of groups that the fault hit.
	Groups int
	// Detected tells that control marked every hit group as unable to serve, and
	// Detection when.
	Detected  bool
	Detection dragonflyduration.Duration
	// Decided tells that control recorded the end of every hit group, and Decision
	// the time from detection until then.
	Decided  bool
	Decision dragonflyduration.Duration
	// Repaired tells that as many groups as before served again, Downtime when,
	// less LoadTime, the engine's own time to load.
	Repaired bool
	Downtime dragonflyduration.Duration
	LoadTime dragonflyduration.Duration
	// Stranded is the time integral over the observation, in accelerator-seconds,
	// of accelerators that work but serve in no group, beyond the spares.
	Stranded float64
	// Observed is the time for which the system was observed after the fault.
	Observed dragonflyduration.Duration
}

// Met reports whether detection and decision together took at most target.
func (t Trial) Met(target dragonflyduration.Duration) bool {
	return t.Detected && t.Decided && t.Detection+t.Decision <= target
}
