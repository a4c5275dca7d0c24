// Package dragonflyleavingupstream defines what an entry reports of an upstream whose
// answers say that it leaves.
package dragonflyleavingupstream

import "dragonflyrelay.example/library/common/dragonflyduration"

// Upstream is one start of an upstream that leaves.
type Upstream struct {
	// ID and Boot identify the upstream and its start.
	ID   string
	Boot int64
	// Age is the time since the first answer that said so.
	Age dragonflyduration.Duration
}
