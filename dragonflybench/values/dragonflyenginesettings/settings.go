// Package dragonflyenginesettings describes one rank of a stand-in engine.
package dragonflyenginesettings

import (
	"dragonflyrelay.example/dragonflybench/values/dragonflybatchsettings"
	"dragonflyrelay.example/library/common/dragonflyduration"
)

// Settings describe an engine. A zero field takes the default that WithDefaults states.
type Settings struct {
	// Instance is the id of the engine's instance.
	Instance string
	// Listen is the IP and port to serve on; port 0 takes a free one.
	Listen string
	// Agent is the IP and port of the agent to announce to; empty for none.
	Agent string
	// Region, Zone and Domain tell where the instance is.
	Region, Zone, Domain string
	// Accelerators is the number of accelerators of the instance.
	Accelerators int
	// Model names the model that the engine can load.
	Model string
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool
	// LoadTime is the time to load a model.
	LoadTime dragonflyduration.Duration
	// PingPeriod is the time between two pings of the head to each other rank.
	PingPeriod dragonflyduration.Duration
	// PingTimeout is the silence after which the head takes a rank for dead.
	PingTimeout dragonflyduration.Duration
	// Standalone makes the engine serve as a group of one without an order.
	Standalone bool
	// Batch describes the speed and the capacity.
	Batch dragonflybatchsettings.Settings
}

// WithDefaults returns s with defaults in place of zero fields: a free port of
// 127.0.0.1, one accelerator, model "standin", 300 ms to load, pings every 100 ms
// and a rank dead after 400 ms, a third of the group lease of the system.
func (s Settings) WithDefaults() Settings {
	if s.Listen == "" {
		s.Listen = "127.0.0.1:0"
	}
	if s.Accelerators == 0 {
		s.Accelerators = 1
	}
	if s.Model == "" {
		s.Model = "standin"
	}
	if s.LoadTime == 0 {
		s.LoadTime = 300 * dragonflyduration.Millisecond
	}
	if s.PingPeriod == 0 {
		s.PingPeriod = 100 * dragonflyduration.Millisecond
	}
	if s.PingTimeout == 0 {
		s.PingTimeout = 400 * dragonflyduration.Millisecond
	}
	s.Batch = s.Batch.WithDefaults()
	return s
}
