// Package dragonflyadoption describes when a process starts to follow a
// configuration.
package dragonflyadoption

// Adoption is the event that a process starts to follow a configuration version.
type Adoption struct {
	// Process is the name of the agent or entry.
	Process string
	// Version is the configuration version.
	Version uint64
	// At is the monotonic time in ns.
	At int64
}
