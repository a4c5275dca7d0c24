// Package dragonflyenginefigures describes the engines of a service.
package dragonflyenginefigures

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflymodelfigures"
)

// Engine is what routing and placement must know of a service's engines. The
// zero Engine belongs to a plain service.
type Engine struct {
	// Slots is the number of requests that one group runs at once.
	Slots int
	// Models lists the models that the service serves.
	Models []dragonflymodelfigures.Model
	// LoadsPerSecond and LoadsAtOnce bound loads from the weight store.
	LoadsPerSecond float64
	LoadsAtOnce    int
	// FormTime is the time that a head takes to open.
	FormTime dragonflyduration.Duration
	// ReadRate is the number of prompt tokens read in a second.
	ReadRate float64
	// StepTime is the time of one token step.
	StepTime dragonflyduration.Duration
}

// Model returns the named model and whether the engines serve it.
func (e Engine) Model(name string) (m dragonflymodelfigures.Model, ok bool) {
	for _, m := range e.Models {
		if m.Name == name {
			return m, true
		}
	}
	return m, false
}
