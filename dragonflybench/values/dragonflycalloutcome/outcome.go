// Package dragonflycalloutcome tells how a call to a plain service ended for its caller.
package dragonflycalloutcome

// kind tells what the caller was told.
type kind uint8

// Kinds of outcomes.
const (
	// Answered is the service's own answer, whatever its status.
	Answered kind = iota + 1
	// NotRun is a refusal that says that the call has not run.
	NotRun
	// Unknown is everything else: the call may have run.
	Unknown
)

// Name returns the name of a kind in results.
func (k kind) Name() string { return [...]string{"", "answered", "not-run", "unknown"}[k] }

// Outcome is what the caller knows of one call.
type Outcome struct {
	// Body is the SHA-256 of the call's body in hex, which is unique.
	Body string
	// Kind is the last thing that the caller was told.
	Kind kind
	// Keyed tells that the call had an idempotency key, Tries how often the
	// caller sent it.
	Keyed bool
	Tries int
	// Echoed is the SHA-256 of the body that the answer is for.
	Echoed string
}
