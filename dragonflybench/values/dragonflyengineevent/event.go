// Package dragonflyengineevent is what happens to a stand-in engine.
package dragonflyengineevent

import "dragonflyrelay.example/library/common/dragonflyduration"

// kind tells what an Event is.
type kind uint8

// Kinds of events.
const (
	// Tick lets time advance.
	Tick kind = iota + 1
	// Arrive is a request for a completion.
	Arrive
	// Cancel tells that the caller of a request has gone.
	Cancel
	// Abort ends all requests.
	Abort
	// Load is an order to load a model as a rank of a group.
	Load
	// Unload is an order to leave a group.
	Unload
	// Pong is the answer of another rank to a ping.
	Pong
	// Fault switches faults.
	Fault
	// Import adds blocks to the prefix cache.
	Import
)

// Event is one event. Only the fields of its kind are set.
type Event struct {
	// Kind tells what happened.
	Kind kind
	// ID names the request of Arrive and Cancel and the call of an order.
	ID string

	// Prompt, MaxTokens, Delivered and Priority are the request of Arrive;
	// Delivered are the tokens after which a resumed answer continues, and
	// priority 0 is served first.
	Prompt    string
	MaxTokens int
	Delivered []string
	Priority  int

	// Group, Fence, Model, Rank and Ranks are those of an order; Ranks lists
	// the engines' addresses. A Pong has the group and fence that the rank holds.
	Group, Fence uint64
	Model        string
	Rank         int
	Ranks        []string

	// SlowPercent, if above 0, sets the time of an iteration in percent of the
	// normal one. TurnCold makes the engine cold without announcing it. Freeze
	// stops it for that time. RefuseOrders and AcceptOrders switch orders.
	SlowPercent  int
	TurnCold     bool
	Freeze       dragonflyduration.Duration
	RefuseOrders bool
	AcceptOrders bool

	// Reason tells why all requests end.
	Reason string
	// Blocks are the hashes of Import.
	Blocks []uint64
}
