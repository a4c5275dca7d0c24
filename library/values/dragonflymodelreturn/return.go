// Package dragonflymodelreturn defines when a model without a serving group is expected to
// serve again.
package dragonflymodelreturn

import "dragonflyrelay.example/library/common/dragonflyduration"

// Return is the estimate of the leader for one model of a service.
type Return struct {
	// Service and Model name the model.
	Service, Model string
	// In is the time until its next group is expected to serve, from the sending of the
	// response.
	In dragonflyduration.Duration
}
