// Package dragonflychoice defines the endpoint chosen for an attempt.
package dragonflychoice

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyendpoint"
)

// Choice is the result of choosing an endpoint.
type Choice struct {
	// OK reports whether Endpoint is set; if not, Reason is the cause.
	OK       bool
	Endpoint dragonflyendpoint.Endpoint
	Reason   string
	// Full reports that endpoints exist, but are too busy.
	Full bool
	// Absent reports that no endpoint is there for the request, apart from those that are
	// excluded or leave, and Cold that those which are there take no more while they are
	// cold or limited.
	Absent, Cold bool
	// Unserved reports that no endpoint serves the model, not even one that is excluded or
	// leaves.
	Unserved bool
	// Pause is the time until the first of the endpoints takes a request again, if all
	// that could serve it have asked for a pause.
	Pause dragonflyduration.Duration
	// Overload reports that the request was refused so that others meet their
	// targets; a retry by the caller may succeed.
	Overload bool
	// RetryAfter is the time after which such a retry is useful, 0 if that is soon.
	RetryAfter dragonflyduration.Duration
	// Candidates is the number of endpoints considered, and InFlight the number of
	// this entry's requests at the chosen one before this request.
	Candidates, InFlight int
}

// LacksCapacity reports that no endpoint was chosen because the model has too few. A pause
// that endpoints have asked for, a used up budget for repeats, and endpoints that leave or
// are excluded are no such lack.
func (c Choice) LacksCapacity() bool {
	return !c.OK && (c.Overload || c.Full || c.Cold || c.Unserved)
}
