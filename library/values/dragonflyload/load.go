// Package dragonflyload defines a load sample of an upstream.
package dragonflyload

// Load is a load sample of an upstream, taken by its agent or by the upstream
// itself.
type Load struct {
	// InFlight is the number of requests running on the upstream.
	InFlight int
	// Limit is the number of requests that the agent allows to run concurrently.
	Limit int
	// Queued is the number of requests in the agent's queue that wait for a slot.
	Queued int
}
