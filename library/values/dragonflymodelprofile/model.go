// Package dragonflymodelprofile describes one model that engines can serve.
package dragonflymodelprofile

import "dragonflyrelay.example/library/common/dragonflyduration"

// ModelProfile is what placement must know of a model.
type ModelProfile struct {
	// Name identifies the model in requests and orders.
	Name string
	// Size is the number of instances of one group.
	Size int
	// Share is the model's expected share of the work, from 0 to 1.
	Share float64
	// Pace is the factor on the times of the engine.
	Pace float64
	// Load is the time to load the weights from the store; Warmup the time to
	// join a group with weights that the host already holds.
	Load, Warmup dragonflyduration.Duration
}

// TimeFactor returns the factor of the engine's times, 1 if none is given.
func (m ModelProfile) TimeFactor() float64 {
	if m.Pace <= 0 {
		return 1
	}
	return m.Pace
}
