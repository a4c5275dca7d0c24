package dragonflybatch

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyload"
)

// reports keep what is needed to report the load with a lag: the newest load,
// and the one taken at least half a lag before it.
type reports struct {
	reported, pending, newest dragonflyload.Load
	pendingAt                 dragonflyinstant.Instant
}

func (r reports) with(now dragonflyinstant.Instant, l dragonflyload.Load, lag dragonflyduration.Duration) reports {
	r = r.advanced(now, lag)
	r.newest = l
	return r
}

// at returns the load reported at now, between one and two lags old.
func (r reports) at(now dragonflyinstant.Instant, lag dragonflyduration.Duration) dragonflyload.Load {
	return r.advanced(now, lag).reported
}

func (r reports) advanced(now dragonflyinstant.Instant, lag dragonflyduration.Duration) reports {
	switch age := now.Sub(r.pendingAt); {
	case age >= 2*lag:
		r.reported, r.pending, r.pendingAt = r.newest, r.newest, now
	case age >= lag:
		r.reported, r.pending, r.pendingAt = r.pending, r.newest, now
	}
	return r
}
