// Package dragonflyload defines a load sample of an upstream.
package dragonflyload

// Load is a load sample of an upstream, taken by its agent.
type Load struct {
	// InFlight is the number of requests running on the upstream.
	InFlight int
	// Limit is the number of requests that the agent allows to run concurrently.
	Limit int
	// Queued is the number of admitted requests that wait for a slot.
	Queued int
}
