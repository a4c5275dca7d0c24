// Package dragonflypatience says how long callers wait for a response. It addresses outages
// in which requests wait at the entry: one that is held longer is served to nobody.
package dragonflypatience

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflypathroute"
)

const (
	// leastSilence, silentObjectives and silentGaps bound the silence after which a caller
	// abandons a stream: the longest of a time and of multiples of the objective and of the
	// gap target.
	leastSilence     = 2 * dragonflyduration.Second
	silentObjectives = 4
	silentGaps       = 8
	// leastReserve and mostReserve bound the time kept for serving a request that has
	// waited. Requests are normally served within their objective.
	leastReserve = 200 * dragonflyduration.Millisecond
	mostReserve  = 500 * dragonflyduration.Millisecond
	// unroutedWait bounds the wait of a request whose route is not known. It is below the
	// caller timeout of all streams and leaves a call with a timeout of 2 s its reserve.
	unroutedWait = 1500 * dragonflyduration.Millisecond
)

// Of returns how long the caller of a request of route r waits for the first byte of a
// response if its deadline is left away.
func Of(r dragonflypathroute.Route, left dragonflyduration.Duration) dragonflyduration.Duration {
	if r.Kind != dragonflypathroute.Streaming {
		return left
	}
	return min(left, max(leastSilence, silentObjectives*r.Objective, silentGaps*r.GapTarget))
}

// Wait returns how long after its arrival such a request may be sent, so that the response
// still finds its caller. It is 0 if there is no such time.
func Wait(r dragonflypathroute.Route, left dragonflyduration.Duration) dragonflyduration.Duration {
	return max(Of(r, left)-min(max(r.Objective, leastReserve), mostReserve), 0)
}

// WaitUnrouted returns the same for a request whose route is not known.
func WaitUnrouted(left dragonflyduration.Duration) dragonflyduration.Duration {
	return max(min(unroutedWait, left-mostReserve), 0)
}
