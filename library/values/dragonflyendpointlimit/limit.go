// Package dragonflyendpointlimit defines the request rate that an upstream names as its
// limit.
package dragonflyendpointlimit

import "dragonflyrelay.example/library/common/dragonflyduration"

// Limit is what the latest known answer of an upstream says of its limit.
type Limit struct {
	// ID and Boot identify the upstream and its start.
	ID   string
	Boot int64
	// Limited reports whether the answer names a limit, and Rate is the limit: the
	// requests a second that the upstream takes from all entries together.
	Limited bool
	Rate    float64
	// Age is the time since the answer.
	Age dragonflyduration.Duration
}
