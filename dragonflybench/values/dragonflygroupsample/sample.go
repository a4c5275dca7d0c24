// Package dragonflygroupsample holds one sample of the groups of a system.
package dragonflygroupsample

// Sample is one sample of the groups, as the leader of control reports them.
type Sample struct {
	// At is the monotonic time in ns at which the report arrived.
	At int64
	// Members lists the members of every recorded group by group id.
	Members map[uint64][]string
	// Ready contains the ids of the groups that accept work.
	Ready map[uint64]bool
}
