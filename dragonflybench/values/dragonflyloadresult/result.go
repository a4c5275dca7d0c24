// Package dragonflyloadresult sums up a generated load.
package dragonflyloadresult

import (
	"dragonflyrelay.example/dragonflybench/values/dragonflyquantiles"
	"dragonflyrelay.example/library/common/dragonflyduration"
)

// class is the result for one class.
type class struct {
	// Name is the class's name.
	Name string
	// Requests is the number of requests, Met how many met the target.
	Requests, Met int
	// Answered is the share that must meet the target, per mille.
	Answered int
}

// Result sums up a load.
type Result struct {
	// Base is the URL that was called; Seed and Rate are those of the settings.
	Base string
	Seed uint64
	Rate float64
	// Requests is the number of arrivals, Tokens that of correct tokens.
	Requests, Tokens int
	// Outcomes counts requests by name of outcome.
	Outcomes map[string]int
	// Elapsed is the time from the first arrival to the last end.
	Elapsed dragonflyduration.Duration
	// FirstToken is measured from arrival, FirstTokenFromSend from sending.
	FirstToken, FirstTokenFromSend dragonflyquantiles.Quantiles
	// Gap is the time between tokens.
	Gap dragonflyquantiles.Quantiles
	// Lateness is how late the generator sent; LateRequests counts requests sent more
	// than 10 ms late.
	Lateness     dragonflyquantiles.Quantiles
	LateRequests int
	// Classes has one entry per class, Workspaces the requests by workspace.
	Classes    []class
	Workspaces map[string]int
	// Examples has a few details of requests that were not whole.
	Examples []string
}

// WithClass returns r with the result of one more class.
func (r Result) WithClass(name string, requests, met, answered int) Result {
	r.Classes = append(r.Classes[:len(r.Classes):len(r.Classes)], class{name, requests, met, answered})
	return r
}
