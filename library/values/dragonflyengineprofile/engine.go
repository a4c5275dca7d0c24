// Package dragonflyengineprofile describes the engines of a service.
package dragonflyengineprofile

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflymodelprofile"
)

// EngineProfile is what routing and placement must know of a service's engines. The
// zero Engine belongs to a plain service.
type EngineProfile struct {
	// Slots is the number of requests that one group runs at once.
	Slots int
	// Models lists the models that the service serves.
	Models []dragonflymodelprofile.ModelProfile
	// LoadsPerSecond and LoadsAtOnce bound loads from the weight store.
	LoadsPerSecond float64
	LoadsAtOnce    int
	// FormTime is the time that a head takes to open.
	FormTime dragonflyduration.Duration
	// ReadRate is the number of prompt tokens read in a second.
	ReadRate float64
	// StepTime is the time of one token step, to which each request that writes
	// adds SequenceTime. A pass consists of Stride steps, after each of which it
	// reads the prompts that wait.
	StepTime, SequenceTime dragonflyduration.Duration
	Stride                 int
}

// Pass returns the expected time of one pass of a group of model m that writes
// to n requests and reads tokens.
func (e EngineProfile) Pass(m dragonflymodelprofile.ModelProfile, n, tokens float64) dragonflyduration.Duration {
	write := float64(max(e.Stride, 1)) * (float64(e.StepTime) + n*float64(e.SequenceTime))
	read := 0.0
	if e.ReadRate > 0 {
		read = tokens / e.ReadRate * float64(dragonflyduration.Second)
	}
	return dragonflyduration.Duration(m.TimeFactor() * (write + read))
}

// Model returns the named model and whether the engines serve it.
func (e EngineProfile) Model(name string) (m dragonflymodelprofile.ModelProfile, ok bool) {
	for _, m := range e.Models {
		if m.Name == name {
			return m, true
		}
	}
	return m, false
}
