// Package dragonflymodeldemand defines the work for one model that arrives at an entry.
package dragonflymodeldemand

// DecodeTokens is the length of the prompt whose prefill costs an engine about as much as
// decoding the answer to a request.
const DecodeTokens = 300

// Demand is the recent work of one rank for one model of a service.
type Demand struct {
	// Service and Model name the model, Rank the urgency of the requests, 0 first.
	Service, Model string
	Rank           int
	// Work is the work of the requests that arrived, in prompt tokens a second, with
	// DecodeTokens for each request.
	Work float64
	// Refused is the part of Work that was refused for want of capacity.
	Refused float64
	// Delay is the mean time to the first event as a fraction of the objective, 0 if there
	// was no event.
	Delay float64
}
