// Package dragonflywithdrawal defines the record of a group whose members leave a head
// that may still be at work.
package dragonflywithdrawal

// Withdrawal names the engines that are ordered to leave a group because its head cannot be. The
// head may be at work until it is broken without them.
type Withdrawal struct {
	// Group and Epoch identify the group.
	Group string
	Epoch uint64
	// Engines are the ids of the members, without the head.
	Engines []string
}
