// Package dragonflyloadresult holds the aggregated result of a generated load.
package dragonflyloadresult

import (
	"dragonflyrelay.example/dragonflybench/values/dragonflyquantiles"
	"dragonflyrelay.example/library/common/dragonflyduration"
)

// class is the result for one class.
type class struct {
	// Name is the name of the class.
	Name string
	// Requests is the number of requests, Met the number that met the target.
	Requests, Met int
	// Answered is the share of requests that must meet the target, per mille.
	Answered int
}

// Result is the result of a load.
type Result struct {
	// Base is the URL that was called; Seed and Rate are those of the settings.
	Base string
	Seed uint64
	Rate float64
	// Requests is the number of arrivals, Tokens that of correct tokens.
	Requests, Tokens int
	// Outcomes is the number of requests by name of outcome.
	Outcomes map[string]int
	// Elapsed is the time from the start of the load to the end of the last request.
	Elapsed dragonflyduration.Duration
	// FirstToken is measured from arrival, FirstTokenFromSend from sending.
	FirstToken, FirstTokenFromSend dragonflyquantiles.Quantiles
	// Gap is the time between two tokens.
	Gap dragonflyquantiles.Quantiles
	// Lateness is the delay of the generator from arrival to sending; LateRequests is
	// the number of requests that were sent more than 10 ms late.
	Lateness     dragonflyquantiles.Quantiles
	LateRequests int
	// Classes has one element for each class; Workspaces is the number of requests
	// by workspace.
	Classes    []class
	Workspaces map[string]int
	// Examples has the details of a few requests that did not complete.
	Examples []string
}

// WithClass returns r with the result of one more class.
func (r Result) WithClass(name string, requests, met, answered int) Result {
	r.Classes = append(r.Classes[:len(r.Classes):len(r.Classes)], class{name, requests, met, answered})
	return r
}
