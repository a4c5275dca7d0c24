// Package dragonflyleaving keeps the upstreams of which an entry has seen in answers that
// they leave. The routing table says the same later, or not at all while control is lost.
package dragonflyleaving

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflyleavingupstream"
)

const (
	// absentTime is how long an upstream is kept after it was last in a table. Its row may
	// be missing while control has a new leader, or until its group has formed again.
	absentTime = 10 * dragonflyduration.Minute
	// maxUpstreams bounds the upstreams that are kept.
	maxUpstreams = 4096
)

// upstream is one start of an upstream that leaves.
type upstream struct {
	boot     int64
	at       dragonflyinstant.Instant // of the first answer that said so
	seenAt   dragonflyinstant.Instant // latest answer, or table with a row of it
	sequence uint64
}

// Leaving is the set of the upstreams that leave. The zero Leaving is empty.
type Leaving struct {
	upstreams dragonflymap.Map[string, upstream] // by id
	sequence  uint64                             // number of the latest addition
}

// Has reports whether this start of the upstream id, or a later one, has said that it
// leaves. A later start than the one that left is another upstream.
func (l Leaving) Has(id string, boot int64) bool {
	u, ok := l.upstreams.Get(id)
	return ok && boot <= u.boot
}

// WithAnswer returns the set after an answer at now by which this start of the upstream id
// leaves.
func (l Leaving) WithAnswer(now dragonflyinstant.Instant, id string, boot int64) Leaving {
	old, known := l.upstreams.Get(id)
	if known && boot < old.boot {
		return l
	}
	if known && boot == old.boot {
		old.seenAt = now
		l.upstreams = l.upstreams.With(id, old)
		return l
	}
	if !known && l.upstreams.Len() >= maxUpstreams {
		l = l.withoutOldest()
	}
	l.sequence++
	l.upstreams = l.upstreams.With(id, upstream{boot: boot, at: now, seenAt: now, sequence: l.sequence})
	return l
}

// WithTable returns the set after a complete routing table, of which bootOf returns the
// start of an upstream. Earlier starts, and upstreams that have been absent for long, are
// dropped.
func (l Leaving) WithTable(now dragonflyinstant.Instant, bootOf func(id string) (boot int64, ok bool)) Leaving {
	for id, u := range l.upstreams.All() {
		boot, ok := bootOf(id)
		switch {
		case ok && boot > u.boot, !ok && now.Sub(u.seenAt) > absentTime:
			l.upstreams = l.upstreams.Without(id)
		case ok:
			u.seenAt = now
			l.upstreams = l.upstreams.With(id, u)
		}
	}
	return l
}

// withoutOldest drops the upstream that was seen least recently.
func (l Leaving) withoutOldest() Leaving {
	oldest, at := "", dragonflyinstant.Instant(0)
	for id, u := range l.upstreams.All() {
		if oldest == "" || u.seenAt < at {
			oldest, at = id, u.seenAt
		}
	}
	l.upstreams = l.upstreams.Without(oldest)
	return l
}

// Sequence returns the number of the latest addition.
func (l Leaving) Sequence() uint64 { return l.sequence }

// After returns the upstreams with numbers above after.
func (l Leaving) After(now dragonflyinstant.Instant, after uint64) (all []dragonflyleavingupstream.Upstream) {
	for id, u := range l.upstreams.All() {
		if u.sequence > after {
			all = append(all, dragonflyleavingupstream.Upstream{ID: id, Boot: u.boot, Age: now.Sub(u.at)})
		}
	}
	return all
}
