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

func (l laggedLoad) with(now dragonflyinstant.Instant, load dragonflyload.Load, lag dragonflyduration.Duration) laggedLoad {
	l = l.advanced(now, lag)
	l.newest = load
	return l
}

// at returns the load reported at now, which is between one and two lags old.
func (l laggedLoad) at(now dragonflyinstant.Instant, lag dragonflyduration.Duration) dragonflyload.Load {
	return l.advanced(now, lag).reported
}

func (l laggedLoad) advanced(now dragonflyinstant.Instant, lag dragonflyduration.Duration) laggedLoad {
	switch age := now.Sub(l.pendingAt); {
	case age >= 2*lag:
		l.reported, l.pending, l.pendingAt = l.newest, l.newest, now
	case age >= lag:
		l.reported, l.pending, l.pendingAt = l.pending, l.newest, now
	}
	return l
}
