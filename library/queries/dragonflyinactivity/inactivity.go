// Package dragonflyinactivity chooses the connection that a process closes when it has as
// many as it may have. It addresses callers that open connections and do not finish their
// requests: refusing new connections instead would leave ordinary callers outside.
package dragonflyinactivity

import "dragonflyrelay.example/library/common/dragonflyinstant"

// Connection is one open connection.
type Connection struct {
	// ID identifies the connection.
	ID uint64
	// ActiveAt is when bytes were last read from it or written to it.
	ActiveAt dragonflyinstant.Instant
	// Busy is set while the process works on a request of the connection.
	Busy bool
}

// Longest returns the connection that has been inactive for longest and is not busy. It
// returns false if all are busy.
func Longest(connections []Connection) (c Connection, ok bool) {
	for _, other := range connections {
		if !other.Busy && (!ok || other.ActiveAt.Before(c.ActiveAt)) {
			c, ok = other, true
		}
	}
	return c, ok
}
