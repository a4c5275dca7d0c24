// Package dragonflychoice is the endpoint chosen for an attempt.
package dragonflychoice

import "dragonflyrelay.example/library/values/dragonflyendpoint"

// Choice is the answer to the question for an endpoint.
type Choice struct {
	// OK tells that Endpoint is set; if not, Reason tells why there is none.
	OK       bool
	Endpoint dragonflyendpoint.Endpoint
	Reason   string
	// Full tells that endpoints exist, but are too busy.
	Full bool
	// Overload tells that the request is refused to keep others on time, and may
	// well be taken if the caller asks again.
	Overload bool
	// Candidates is the number of endpoints chosen from, and InFlight that of
	// this entry's requests at the chosen one before this one.
	Candidates, InFlight int
}
