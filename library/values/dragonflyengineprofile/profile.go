// Package dragonflyengineprofile defines the performance profile of the engines
// of a service.
package dragonflyengineprofile

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflymodelprofile"
)

// EngineProfile holds the properties of a service's engines that routing and
// placement depend on. The zero EngineProfile belongs to a plain service.
type EngineProfile struct {
	// Slots is the number of requests that one group runs concurrently.
	Slots int
	// Models lists the models that the service serves.
	Models []dragonflymodelprofile.ModelProfile
	// LoadsPerSecond and LoadsAtOnce limit the rate and the concurrency of loads
	// from the weight store.
	LoadsPerSecond float64
	LoadsAtOnce    int
	// FormTime is the time until the head of a new group accepts requests.
	FormTime dragonflyduration.Duration
	// PrefillRate is the number of prompt tokens prefilled per second.
	PrefillRate float64
	// StepTime is the time of one decoding step, to which each decoding request
	// adds SequenceTime. A pass consists of StepsPerPass decoding steps and the
	// prefill of the waiting prompts.
	StepTime, SequenceTime dragonflyduration.Duration
	StepsPerPass           int
}

// Pass returns the expected time of one pass of a group of model m that decodes n
// requests and prefills the given number of prompt tokens.
func (e EngineProfile) Pass(m dragonflymodelprofile.ModelProfile, n, tokens float64) dragonflyduration.Duration {
	decoding := float64(max(e.StepsPerPass, 1)) * (float64(e.StepTime) + n*float64(e.SequenceTime))
	prefill := 0.0
	if e.PrefillRate > 0 {
		prefill = tokens / e.PrefillRate * float64(dragonflyduration.Second)
	}
	return dragonflyduration.Duration(m.TimeFactor() * (decoding + prefill))
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
