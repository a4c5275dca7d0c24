// Package dragonflyhistory is one accepted operator change.
package dragonflyhistory

// Entry is one accepted change of the configuration.
type Entry struct {
	// Version is the configuration version that the change made.
	Version uint64
	// ChangeID is the id of the change.
	ChangeID string
	// Operator names who made the change.
	Operator string
	// At is the wall-clock time at the proposer in nanoseconds since 1970.
	At int64
	// Summary says in a line what was changed.
	Summary string
}
