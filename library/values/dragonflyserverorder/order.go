// Package dragonflyserverorder is an order to one engine.
package dragonflyserverorder

// kind tells what an engine is to do.
type kind uint8

// Kinds of orders.
const (
	// Join makes the engine a member of a group.
	Join kind = iota + 1
	// Open lets the head of a group take requests.
	Open
	// Close lets the head finish its requests and take no more.
	Close
	// Leave ends the membership at once.
	Leave
	// Stage loads the weights of a model onto the host.
	Stage
)

// Order is what the agent beside an engine is to bring about. It is repeated
// until the engine reports the wanted state. The zero Order wants nothing.
type Order struct {
	// Kind tells what is wanted.
	Kind kind
	// Group and Epoch identify the group; Members lists its engines by rank.
	Group   string
	Epoch   uint64
	Members []string
	// Model is the model of Join and Stage.
	Model string
	// Fence rises with every change of the deciding control instance.
	Fence uint64
	// Expected is the number of orders that the engine has accepted before this
	// one. An engine that has accepted others since refuses the order, so that one
	// which is carried out late cannot undo newer ones.
	Expected uint64
}

// Same reports whether o and p want the same.
func (o Order) Same(p Order) bool {
	return o.Kind == p.Kind && o.Group == p.Group && o.Epoch == p.Epoch && o.Model == p.Model
}
