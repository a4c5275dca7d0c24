// Package dragonflypartverdict defines whether a request may be sent, judged by the parts
// of its prompt.
package dragonflypartverdict

import "dragonflyrelay.example/library/common/dragonflyduration"

// Verdict is the decision on one event of a request. The zero Verdict admits it.
type Verdict struct {
	// Part is the quarantined part, or the fingerprint, for which the request is refused, "" if it is
	// admitted; RetryAfter is the time until the part may be probed.
	Part       string
	RetryAfter dragonflyduration.Duration
	// Probe reports that the request is admitted to probe a quarantined part. It must
	// be sent once only.
	Probe bool
	// Check reports, after a loss, that a connection to the endpoint is to show whether it
	// has crashed.
	Check bool
}
