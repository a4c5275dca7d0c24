// Package dragonflymodeladmission defines which requests for an overloaded model all entries
// admit.
package dragonflymodeladmission

// Admission is the decision of the leader for one model of a service.
type Admission struct {
	// Service and Model name the model.
	Service, Model string
	// Rank is the least urgent rank that is admitted, and Fraction the fraction of its work
	// that is, from 0 to 1. More urgent ranks are admitted whole, less urgent ones refused.
	Rank     int
	Fraction float64
}
