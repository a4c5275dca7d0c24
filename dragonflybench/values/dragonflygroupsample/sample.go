// Package dragonflygroupsample is one reading of the groups of a system.
package dragonflygroupsample

// Sample is one reading of the state of control's leader.
type Sample struct {
	// At is the monotonic time in ns at which the answer arrived.
	At int64
	// Members lists the members of every recorded group.
	Members map[uint64][]string
	// Ready holds the groups that take work.
	Ready map[uint64]bool
}
