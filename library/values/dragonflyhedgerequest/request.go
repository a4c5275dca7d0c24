// Package dragonflyhedgerequest defines the properties of a request that decide whether it
// may be sent to a second upstream while the first one may still answer it.
package dragonflyhedgerequest

// Request is a request in progress at one upstream. The zero Request may not be sent to a
// second one.
type Request struct {
	// Retryable reports whether the request may run more than once.
	Retryable bool
	// Attempts is the number of attempts that may have run, with the one in progress, and
	// MaxAttempts the largest number that the route allows.
	Attempts, MaxAttempts int
	// HasLost reports whether an attempt was lost or failed.
	HasLost bool
	// HasBegun reports whether the caller has a part of the response.
	HasBegun bool
	// IsProbe reports whether the request probes a quarantined part of its prompt, and
	// IsSuspect whether an upstream was recently lost with such a request or a part of it.
	IsProbe, IsSuspect bool
}

// Eligible reports whether the request may be sent to a second upstream.
func (r Request) Eligible() bool {
	return r.Retryable && r.Attempts < r.MaxAttempts && !r.HasLost && !r.HasBegun && !r.IsProbe && !r.IsSuspect
}
