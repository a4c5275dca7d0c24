// Package dragonflycontact defines what an entry reports of an upstream of which control
// has no recent report.
package dragonflycontact

import "dragonflyrelay.example/library/common/dragonflyduration"

// Contact is the latest answer that an entry has had of an upstream.
type Contact struct {
	// ID identifies the upstream.
	ID string
	// Age is the time since the latest event of a stream at the upstream.
	Age dragonflyduration.Duration
}
