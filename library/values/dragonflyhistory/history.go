// Package dragonflyhistory defines the record of an accepted operator change.
package dragonflyhistory

// Entry is one accepted change of the configuration.
type Entry struct {
	// Version is the configuration version that the change created.
	Version uint64
	// ChangeID is the id of the change.
	ChangeID string
	// Operator names who made the change.
	Operator string
	// At is the wall-clock time at the proposer in nanoseconds since 1970.
	At int64
	// Summary describes the change in one line.
	Summary string
}
