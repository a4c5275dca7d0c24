// Package dragonflyadoption is the moment from which a process follows a
// configuration.
package dragonflyadoption

// Adoption tells that a process follows a configuration version.
type Adoption struct {
	// Process names the agent or the entry.
	Process string
	// Version is the configuration version.
	Version uint64
	// At is the monotonic time in ns.
	At int64
}
