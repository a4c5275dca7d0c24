// Package dragonflystoredresult defines the stored result of a change.
package dragonflystoredresult

import "dragonflyrelay.example/library/values/dragonflyresult"

// StoredResult is the first result of a change, which is also returned for a
// retry with the same id.
type StoredResult struct {
	// ID is the id of the change.
	ID string
	// Claim is the key of a claim change, "" for others. The body of a stored
	// answer is read from the claim rather than kept twice.
	Claim string
	// Result is the first result.
	Result dragonflyresult.Result
}
