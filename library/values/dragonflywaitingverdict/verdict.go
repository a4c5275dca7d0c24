// Package dragonflywaitingverdict defines how a waiting request leaves the room.
package dragonflywaitingverdict

import "dragonflyrelay.example/library/common/dragonflyduration"

// Verdict is the outcome for one request.
type Verdict struct {
	// ID identifies the request.
	ID uint64
	// Released requests are tried now; others are refused.
	Released bool
	// Reason is the cause of a refusal, "" if what the request lacks is not expected in
	// time. RetryAfter is the time after which the caller's retry is most useful.
	Reason     string
	RetryAfter dragonflyduration.Duration
}
