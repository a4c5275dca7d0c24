// Package dragonflydemandevent defines the events from which an entry measures the work
// that arrives for each model.
package dragonflydemandevent

// kind is the type of an event.
type kind uint8

// Kinds of events.
const (
	// Arrived reports a request that is about to be sent to an upstream for the first time.
	Arrived kind = iota + 1
	// Refused reports that an arrived request was refused for lack of capacity.
	Refused
	// Began reports the first event of the response to an arrived request.
	Began
)

// Event is one step of one request. Only the fields of its kind are set.
type Event struct {
	// Kind is the type of the event.
	Kind kind
	// Service, Model and Rank classify the request.
	Service, Model string
	Rank           int
	// Tokens is the length of the prompt, of Arrived and Refused.
	Tokens float64
	// Delay is the time to the first event as a fraction of the objective, of Began.
	Delay float64
}
