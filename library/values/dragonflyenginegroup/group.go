// Package dragonflyenginegroup is a group membership as an engine reports it.
package dragonflyenginegroup

// state is the stage of an engine's membership.
type state uint8

// States of a membership.
const (
	// None tells that the engine is in no group.
	None state = iota
	// Joining engines prepare the weights.
	Joining
	// Ready engines can serve once their head opens.
	Ready
	// Open heads take requests.
	Open
	// Closing heads finish the requests in progress.
	Closing
	// Broken groups have lost a member for good.
	Broken
)

// Group is the membership of one engine.
type Group struct {
	// Name identifies the group; Epoch is its generation, which only rises.
	Name  string
	Epoch uint64
	// Rank is the place among the members; the head has rank 0.
	Rank int
	// State is the stage of the membership.
	State state
}

// Is reports whether the membership belongs to the group name at epoch.
func (g Group) Is(name string, epoch uint64) bool {
	return g.State != None && g.Name == name && g.Epoch == epoch
}
