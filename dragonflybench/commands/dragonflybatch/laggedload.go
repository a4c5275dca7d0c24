package dragonflybatch

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyload"
)

// laggedLoad delays the reported load by a lag: newest is the current load, and
// pending, sampled at pendingAt, is the next one to be reported.
type laggedLoad struct {
	reported, pending, newest dragonflyload.Load
	pendingAt                 dragonflyinstant.Instant
}

func (r laggedLoad) with(now dragonflyinstant.Instant, l dragonflyload.Load, lag dragonflyduration.Duration) laggedLoad {
	r = r.advanced(now, lag)
	r.newest = l
	return r
}

// at returns the load reported at now, which is between one and two lags old.
func (r laggedLoad) at(now dragonflyinstant.Instant, lag dragonflyduration.Duration) dragonflyload.Load {
	return r.advanced(now, lag).reported
}

func (r laggedLoad) advanced(now dragonflyinstant.Instant, lag dragonflyduration.Duration) laggedLoad {
	switch age := now.Sub(r.pendingAt); {
	case age >= 2*lag:
		r.reported, r.pending, r.pendingAt = r.newest, r.newest, now
	case age >= lag:
		r.reported, r.pending, r.pendingAt = r.pending, r.newest, now
	}
	return r
}
