// Package dragonflydevsettings defines the settings of a local system.
package dragonflydevsettings

import "dragonflyrelay.example/library/common/dragonflyduration"

// Settings describe a local system. Zero fields mean the defaults of WithDefaults.
type Settings struct {
	// Listen is the IP and port of the first entry; port 0 selects a free port.
	Listen string
	// Folder holds the data of control and the timeline files. It must exist.
	Folder string
	// Entries is the number of entries.
	Entries int
	// Zones names the availability zones. Each is one fabric domain.
	Zones []string
	// GroupsPerZone and GroupSize give the number of engines: a zone has
	// GroupsPerZone times GroupSize of them.
	GroupsPerZone, GroupSize int
	// Model names the model that the engines serve.
	Model string
	// Service names a plain service with one instance; "-" means none.
	Service string
	// LoadTime is how long an engine takes to load the model.
	LoadTime dragonflyduration.Duration
}

// WithDefaults returns s with defaults for zero fields: one entry on a free port
// and, in each of three zones, one group of two engines. The model is called
// standin and the service orders, and engines load the model in 300 ms.
func (s Settings) WithDefaults() Settings {
	if s.Listen == "" {
		s.Listen = "127.0.0.1:0"
	}
	s.Entries = max(s.Entries, 1)
	if len(s.Zones) == 0 {
		s.Zones = []string{"zona-a", "zona-b", "zona-c"}
	}
	if s.GroupsPerZone == 0 {
		s.GroupsPerZone = 1
	}
	if s.GroupSize == 0 {
		s.GroupSize = 2
	}
	if s.Model == "" {
		s.Model = "standin"
	}
	if s.Service == "" {
		s.Service = "orders"
	}
	if s.LoadTime == 0 {
		s.LoadTime = 300 * dragonflyduration.Millisecond
	}
	return s
}
