// Package dragonflyenginegroup defines the group membership that an engine reports.
package dragonflyenginegroup

// state is the stage of an engine's membership.
type state uint8

// States of a membership.
const (
	// None means that the engine is in no group.
	None state = iota
	// Joining engines prepare the weights.
	Joining
	// Ready engines can serve once their head accepts requests.
	Ready
	// Open heads accept requests.
	Open
	// Closing heads finish the requests in progress and accept no new ones.
	Closing
	// Broken groups have permanently lost a member.
	Broken
)

// MaxEpoch is the highest epoch of a group. JSON numbers are exact up to it.
const MaxEpoch = 1<<53 - 1

// Group is the membership of one engine.
type Group struct {
	// Name identifies the group; Epoch is its generation, which only increases.
	Name  string
	Epoch uint64
	// Rank is the position among the members; the head has rank 0.
	Rank int
	// State is the stage of the membership.
	State state
}

// Is reports whether the membership belongs to the group name at epoch.
func (g Group) Is(name string, epoch uint64) bool {
	return g.State != None && g.Name == name && g.Epoch == epoch
}

// MayServe reports whether the head with this membership works on requests.
func (g Group) MayServe() bool { return g.State == Open || g.State == Closing }
