// Package dragonflyenginesettings holds the settings of one rank of a stand-in engine.
package dragonflyenginesettings

import (
	"dragonflyrelay.example/dragonflybench/values/dragonflybatchsettings"
	"dragonflyrelay.example/library/common/dragonflyduration"
)

// Settings are the settings of an engine. WithDefaults replaces zero fields by
// defaults.
type Settings struct {
	// Instance is the id of the instance of the engine.
	Instance string
	// Listen is the IP and port to serve on; port 0 chooses a free one.
	Listen string
	// Agent is the IP and port of the agent to announce to; empty for none.
	Agent string
	// Region, Zone and Domain are the location of the instance.
	Region, Zone, Domain string
	// Accelerators is the number of accelerators of the instance.
	Accelerators int
	// Model is the name of the model that the engine can load.
	Model string
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool
	// LoadTime is the time to load a model.
	LoadTime dragonflyduration.Duration
	// PingPeriod is the time between two pings from the head to each of the other ranks.
	PingPeriod dragonflyduration.Duration
	// PingTimeout is the time without a pong after which the head treats a rank as dead.
	PingTimeout dragonflyduration.Duration
	// Standalone makes the engine serve as a group of one without an order.
	Standalone bool
	// Batch holds the settings of speed and capacity.
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
