// Package dragonflyresult is the answer to a change.
package dragonflyresult

// outcome tells what became of a change.
type outcome uint8

// Outcomes of a change.
const (
	// Accepted tells that the change is durable on a quorum.
	Accepted outcome = iota + 1
	// Conflict tells that the change rests on an old version.
	Conflict
	// Invalid tells that the change is not allowed.
	Invalid
	// NotRun tells that the change has not been and will not be made.
	NotRun
	// Unavailable tells that it is unknown whether the change will be made; the
	// same ID must be sent again to learn it.
	Unavailable
	// ClaimGranted tells that the caller holds the claim and may run the call.
	ClaimGranted
	// ClaimInProgress tells that another request holds the claim.
	ClaimInProgress
	// ClaimStored carries the stored answer.
	ClaimStored
	// ClaimUnknown tells that the first call's outcome is not known.
	ClaimUnknown
	// ClaimMismatch tells that the key was used with another body.
	ClaimMismatch
)

// Result is the answer to a change.
type Result struct {
	// Outcome tells what became of the change.
	Outcome outcome
	// Version is the configuration version after the change, or the one in
	// force on a conflict.
	Version uint64
	// Base is the version that a conflicting change rested on.
	Base uint64
	// Message tells an operator what is wrong.
	Message string
	// Current describes, on a conflict, what stands in place of the change.
	Current string
	// Group and Fence are those of a new group.
	Group, Fence uint64
	// Status, Headers and Body are a stored answer.
	Status  int
	Headers [][2]string
	Body    []byte
}
