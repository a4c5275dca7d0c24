// Package dragonflymodelprofile defines the placement profile of a model that
// engines can serve.
package dragonflymodelprofile

import "dragonflyrelay.example/library/common/dragonflyduration"

// ModelProfile holds the properties of a model that placement depends on.
type ModelProfile struct {
	// Name identifies the model in requests and orders.
	Name string
	// Size is the number of instances in a group.
	Size int
	// Share is the model's expected share of the load, from 0 to 1.
	Share float64
	// Pace is the factor by which the model scales the times of the engine, 0 if
	// none is given.
	Pace float64
	// Load is the time to load the weights from the store; Warmup the time to
	// join a group with weights that the host has already staged.
	Load, Warmup dragonflyduration.Duration
}

// TimeFactor returns the factor that scales the engine's times, 1 if none is given.
func (m ModelProfile) TimeFactor() float64 {
	if m.Pace <= 0 {
		return 1
	}
	return m.Pace
}
