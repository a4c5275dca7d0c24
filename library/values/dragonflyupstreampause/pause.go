// Package dragonflyupstreampause defines the pause that an upstream has asked an entry for.
package dragonflyupstreampause

import "dragonflyrelay.example/library/common/dragonflyduration"

// Pause is a pause in progress of one start of an upstream.
type Pause struct {
	// ID and Boot identify the upstream and its start.
	ID   string
	Boot int64
	// Age is the time since the upstream first asked for it, and Left the time until its
	// end.
	Age, Left dragonflyduration.Duration
}
