// Package dragonflycalloutcome describes the end of a call to a plain service as its
// caller observed it.
package dragonflycalloutcome

// kind is the kind of response that the caller received.
type kind uint8

// Kinds of outcomes.
const (
	// Answered is an answer of the service itself, with any status.
	Answered kind = iota + 1
	// NotRun is a refusal that states that the call has not run.
	NotRun
	// Unknown is any other end; the call may have run.
	Unknown
	// Broken is a success whose body is no whole answer of the service.
	Broken
)

// Name returns the name of the kind in results.
func (k kind) Name() string { return [...]string{"", "answered", "not-run", "unknown", "broken"}[k] }

// Outcome is the outcome of one call.
type Outcome struct {
	// Body is the SHA-256 of the call's body in hex, which is unique.
	Body string
	// Kind is the kind of the last response that the caller received. Once Unknown, it
	// stays so until the service answers, because an earlier attempt may have run.
	Kind kind
	// Keyed is true if the call had an idempotency key. Tries is the number of
	// times that the caller sent it.
	Keyed bool
	Tries int
	// EchoedBody is the SHA-256 of the request body that the answer states, in hex;
	// "" if it states none.
	EchoedBody string
}
