// Package dragonflystoredresult is the first answer to a change.
package dragonflystoredresult

import "dragonflyrelay.example/library/values/dragonflyresult"

// StoredResult is the first answer to a change, which a repeat of its id gets too.
type StoredResult struct {
	// ID is the id of the change.
	ID string
	// Claim is the key of a claim change, "" for others. The body of a stored
	// answer is read from the claim and not kept twice.
	Claim string
	// Result is the first answer.
	Result dragonflyresult.Result
}
