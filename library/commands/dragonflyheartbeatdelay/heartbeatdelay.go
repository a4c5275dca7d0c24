// Package dragonflyheartbeatdelay estimates how late the latest heartbeat of an upstream has
// arrived. The load is a link, or a busy machine, whose delay grows from one heartbeat to the
// next: they then arrive like those of an upstream that sends less often, and the latest one may
// be older than it seems. Heartbeats have no time of sending, but a sequence that increases by
// one with each, and the upstream sends them regularly.
package dragonflyheartbeatdelay

import (
	"slices"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
)

const (
	// maxArrivals is the number of arrivals that are kept. A delay that has grown over more
	// heartbeats is underestimated. With more of them an upstream that has paused counts as
	// delayed for longer, and one whose interval is a little longer than the setting counts
	// as more delayed.
	maxArrivals = 6
	// maxMissing bounds the numbers of heartbeats between two arrivals that are compared.
	maxMissing = 1000
)

// arrival is a heartbeat with the given number that arrived at the given time.
type arrival struct {
	at       dragonflyinstant.Instant
	sequence uint64
}

// HeartbeatDelay holds the latest arrivals of one start of an upstream, oldest first. The zero
// HeartbeatDelay has none.
type HeartbeatDelay struct {
	arrivals []arrival
}

// WithArrival returns h after the heartbeat with the given number has arrived at the given time.
// A number that is not higher than the latest one is ignored.
func (h HeartbeatDelay) WithArrival(at dragonflyinstant.Instant, sequence uint64) HeartbeatDelay {
	n := len(h.arrivals)
	if n > 0 && sequence <= h.arrivals[n-1].sequence {
		return h
	}
	kept := h.arrivals[max(0, n+1-maxArrivals):]
	h.arrivals = append(slices.Clone(kept), arrival{at: at, sequence: sequence})
	return h
}

// Delay returns how much later than the least delayed of the recent heartbeats the latest one
// arrived, if the upstream sends one at every interval. It is 0 if the interval is not known. A
// delay that is the same for all of them is not part of it.
func (h HeartbeatDelay) Delay(interval dragonflyduration.Duration) (delay dragonflyduration.Duration) {
	if interval <= 0 || len(h.arrivals) == 0 {
		return 0
	}
	latest := h.arrivals[len(h.arrivals)-1]
	for _, a := range h.arrivals {
		if missing := latest.sequence - a.sequence; missing <= maxMissing {
			expected := a.at.Add(dragonflyduration.Duration(missing) * interval)
			delay = max(delay, latest.at.Sub(expected))
		}
	}
	return delay
}
