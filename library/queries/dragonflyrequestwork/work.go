// Package dragonflyrequestwork estimates how much of an endpoint a request takes. It
// addresses the return of endpoints after an outage, when many requests wait for few of
// them.
package dragonflyrequestwork

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflydocumentservice"
	"dragonflyrelay.example/library/values/dragonflymodeldemand"
)

// plainDivisor divides the objective of a request to a plain service to get its work. A
// request that takes more than a third of its objective would miss it whenever it waits.
const plainDivisor = 3

// Of returns the time that a request for model with a prompt of the given tokens takes a
// group of service s, or one slot of an upstream if s is a plain service.
func Of(s dragonflydocumentservice.Service, model string, tokens float64, objective dragonflyduration.Duration) dragonflyduration.Duration {
	m, ok := s.Engine.Model(model)
	if !ok || s.Engine.PrefillRate <= 0 {
		return objective / plainDivisor
	}
	seconds := m.TimeFactor() * (tokens + dragonflymodeldemand.DecodeTokens) / s.Engine.PrefillRate
	return dragonflyduration.FromUnits(seconds, dragonflyduration.Second)
}
