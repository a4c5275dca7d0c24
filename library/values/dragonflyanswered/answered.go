// Package dragonflyanswered is the first answer to a change.
package dragonflyanswered

import "dragonflyrelay.example/library/values/dragonflyresult"

// Answered is the first answer to a change, which a repeat of its id gets too.
type Answered struct {
	// ID is the id of the change.
	ID string
	// Claim is the key of a claim change, "" for others. The body of a stored
	// answer is read from the claim and not kept twice.
	Claim string
	// Result is the first answer.
	Result dragonflyresult.Result
}
