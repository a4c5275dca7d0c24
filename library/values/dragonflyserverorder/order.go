// Package dragonflyserverorder defines an order to an engine.
package dragonflyserverorder

// kind is the type of an order.
type kind uint8

// Kinds of orders.
const (
	// Join makes the engine a member of a group.
	Join kind = iota + 1
	// Open lets the head of a group accept requests.
	Open
	// Close lets the head finish its requests and accept no more.
	Close
	// Leave ends the membership at once.
	Leave
	// Stage loads the weights of a model onto the host.
	Stage
)

// Order is an order that an agent executes on the engine of its machine. It is
// resent until the engine reports the requested state. The zero Order requests
// nothing.
type Order struct {
	// Kind is the type of the order.
	Kind kind
	// Group and Epoch identify the group; Members lists its engines by rank.
	Group   string
	Epoch   uint64
	Members []string
	// Model is the model of Join and Stage.
	Model string
	// Fence is the consensus term of the control instance that issued the order.
	// It increases with every change of the leader.
	Fence uint64
	// Expected is the number of orders that the engine had accepted by the report on
	// which control has based this one. An engine that has accepted others since refuses
	// the order, so that it cannot undo newer ones, and no order that control has not
	// seen carried out. The agent sets it from the engine's latest report if
	// HasExpected is not set, as by control of an earlier version.
	Expected    uint64
	HasExpected bool
}

// Same reports whether o and p request the same kind, group, epoch and model.
func (o Order) Same(p Order) bool {
	return o.Kind == p.Kind && o.Group == p.Group && o.Epoch == p.Epoch && o.Model == p.Model
}
