// Package dragonflystoredclaim defines the reservation of an idempotency key.
package dragonflystoredclaim

// Claim is the reservation of an idempotency key, and later the stored answer.
type Claim struct {
	// Key is workspace, service and idempotency key, each preceded by its length.
	Key string
	// Fingerprint is the SHA-256 of method, path and body in hex.
	Fingerprint string
	// Owner identifies the request that holds the claim.
	Owner string
	// At is the wall-clock time of the claim at its proposer, in nanoseconds
	// since 1970.
	At int64
	// Outcome is "" while the call runs, then "done" or "unknown".
	Outcome string
	// Status, Headers and Body are the stored answer of outcome "done".
	Status  int
	Headers [][2]string
	Body    []byte
}
