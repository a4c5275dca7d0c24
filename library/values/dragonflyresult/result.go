// Package dragonflyresult defines the result of a change.
package dragonflyresult

// outcome is the type of a result.
type outcome uint8

// Outcomes of a change.
const (
	// Accepted means that the change is durable on a quorum.
	Accepted outcome = iota + 1
	// Conflict means that the change is based on an old version.
	Conflict
	// Invalid means that the change is not allowed.
	Invalid
	// NotRun means that the change has not been and will not be made.
	NotRun
	// Unavailable means that it is unknown whether the change will be made; the
	// change must be sent again with the same ID to get its result.
	Unavailable
	// ClaimGranted means that the caller holds the claim and may run the call.
	ClaimGranted
	// ClaimInProgress means that another request holds the claim.
	ClaimInProgress
	// ClaimStored carries the stored answer.
	ClaimStored
	// ClaimUnknown means that the outcome of the first call is unknown.
	ClaimUnknown
	// ClaimMismatch means that the key was used with another body.
	ClaimMismatch
)

// Result is the result of a change.
type Result struct {
	// Outcome is the type of the result.
	Outcome outcome
	// Version is the configuration version after the change, or the one in
	// force on a conflict.
	Version uint64
	// Base is the version that a conflicting change was based on.
	Base uint64
	// Message is an error message for operators.
	Message string
	// Current describes, on a conflict, the current value of the changed setting.
	Current string
	// Group and Fence are those of a new group.
	Group, Fence uint64
	// Status, Headers and Body are the stored answer of ClaimStored.
	Status  int
	Headers [][2]string
	Body    []byte
}
