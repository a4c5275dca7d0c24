// Package dragonflyload holds how busy an upstream is.
package dragonflyload

// Load is a sample of an upstream's work, taken by its agent.
type Load struct {
	// InFlight is the number of requests running on the upstream.
	InFlight int
	// Limit is the number of requests the agent lets run at a time.
	Limit int
	// Queued is the number of admitted requests that wait for a place.
	Queued int
}
