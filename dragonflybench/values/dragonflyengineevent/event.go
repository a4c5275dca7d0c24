// Package dragonflyengineevent describes the events of a stand-in engine.
package dragonflyengineevent

import "dragonflyrelay.example/library/common/dragonflyduration"

// kind is the kind of an Event.
type kind uint8

// Kinds of events.
const (
	// Tick is the passing of time.
	Tick kind = iota + 1
	// Arrive is the arrival of a completion request.
	Arrive
	// Cancel is the disconnection of the caller of a request.
	Cancel
	// Abort ends all requests.
	Abort
	// Load is an order to load a model as a rank of a group.
	Load
	// Unload is an order to leave a group.
	Unload
	// Pong is the answer of another rank to a ping.
	Pong
	// Fault switches injected faults on or off.
	Fault
	// Import adds blocks to the prefix cache.
	Import
)

// Event is one event. Only the fields of its kind are set.
type Event struct {
	// Kind is the kind of the event.
	Kind kind
	// ID is the id of the request of Arrive and Cancel, or of the call with an order.
	ID string

	// Prompt, MaxTokens, Delivered and Priority describe the request of Arrive.
	// Delivered lists the tokens after which a resumed answer continues. Priority
	// 0 is served first.
	Prompt    string
	MaxTokens int
	Delivered []string
	Priority  int

	// Group, Fence, Model, Rank and Ranks are those of an order; Ranks lists the
	// addresses of the engines by rank. A Pong has the group and the fence that
	// the rank holds.
	Group, Fence uint64
	Model        string
	Rank         int
	Ranks        []string

	// SlowPercent, if above 0, sets the time of an iteration in percent of the
	// normal time. TurnCold makes the engine cold without an announcement. Freeze
	// is the time for which the engine stops. RefuseOrders and AcceptOrders switch
	// the refusal of orders on and off.
	SlowPercent  int
	TurnCold     bool
	Freeze       dragonflyduration.Duration
	RefuseOrders bool
	AcceptOrders bool

	// Reason is the reason why Abort ends all requests.
	Reason string
	// Blocks lists the hashes of the blocks of Import.
	Blocks []uint64
}
