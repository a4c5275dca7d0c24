// Package dragonflypause keeps the pauses that upstreams ask an entry for when they turn a
// request away. A pause concerns this entry only: the upstream may serve others.
package dragonflypause

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflyupstreampause"
)

const (
	// maxPause bounds the pause that is kept to.
	maxPause = dragonflyduration.Minute
	// maxEarly is the number of requests that are sent before the end of a pause that is
	// longer than any request may take. The upstream bears two, and one of them may show
	// that the value was wrong.
	maxEarly = 2
	// returnTime is the time after a pause in which requests are sent at a limited rate,
	// so that those that have waited do not arrive together.
	returnTime = dragonflyduration.Second
	// maxPauses bounds the upstreams that are kept.
	maxPauses = 4096
)

// pause is the latest pause of one start of an upstream.
type pause struct {
	boot        int64
	since       dragonflyinstant.Instant // of the first answer that asked for it
	until       dragonflyinstant.Instant // no request is sent before
	named       dragonflyinstant.Instant // the end that the upstream named, until or later
	early       int                      // requests sent between until and named
	nextEarlyAt dragonflyinstant.Instant
	spacing     dragonflyduration.Duration // between early requests
	unreadable  bool                       // it has named a time that cannot be read or is too long
	allowance   float64                    // requests that may be sent now after the end
	refilledAt  dragonflyinstant.Instant
}

// Pauses holds the pauses by upstream. The zero Pauses is empty.
type Pauses struct {
	upstreams dragonflymap.Map[string, pause] // by id
}

// WithAnswer returns the pauses after an answer at now by which this start of the upstream
// id asks for the time wait. No request may take longer than longest, 0 if that is not
// known. A pause that is asked for again ends with the later of both ends.
func (p Pauses) WithAnswer(now dragonflyinstant.Instant, id string, boot int64, wait, longest dragonflyduration.Duration) Pauses {
	next, ok := p.withStart(id, boot)
	if !ok || wait <= 0 {
		return p
	}
	if longest <= 0 {
		longest = maxPause
	}
	if !next.named.After(now) {
		next.since, next.early, next.until, next.named = now, 0, 0, 0
	}
	next.until = max(next.until, now.Add(min(wait, longest, maxPause)))
	next.named = max(next.named, now.Add(min(wait, maxPause)))
	next.spacing = min(longest, maxPause)
	next.unreadable = next.unreadable || wait > longest || wait > maxPause
	p.upstreams = p.upstreams.With(id, next)
	return p
}

// WithUnreadable returns the pauses after an answer by which this start of the upstream id
// asks for a pause that cannot be read. It asks for none, and is kept to be logged once.
func (p Pauses) WithUnreadable(id string, boot int64) Pauses {
	if next, ok := p.withStart(id, boot); ok {
		next.unreadable = true
		p.upstreams = p.upstreams.With(id, next)
	}
	return p
}

// withStart returns the pause of this start of the upstream id, and whether it may be kept.
func (p Pauses) withStart(id string, boot int64) (next pause, ok bool) {
	next, known := p.upstreams.Get(id)
	if known && boot < next.boot || !known && p.upstreams.Len() >= maxPauses {
		return next, false
	}
	if boot != next.boot {
		next = pause{boot: boot}
	}
	return next, true
}

// Unreadable reports whether this start of the upstream id has asked for a pause that
// cannot be read or is too long.
func (p Pauses) Unreadable(id string, boot int64) bool {
	old, ok := p.upstreams.Get(id)
	return ok && old.boot == boot && old.unreadable
}

// Held reports whether no request at all may be sent to this start of the upstream id.
func (p Pauses) Held(now dragonflyinstant.Instant, id string, boot int64) bool {
	old, ok := p.upstreams.Get(id)
	return ok && old.boot == boot && now < old.until
}

// Wait returns the time until a request may be sent to this start of the upstream id, 0 if
// it may be sent now. Rate is the number of requests a second at which it returns.
func (p Pauses) Wait(now dragonflyinstant.Instant, id string, boot int64, rate float64) dragonflyduration.Duration {
	old, ok := p.upstreams.Get(id)
	if !ok || old.boot != boot {
		return 0
	}
	end := old.named.Add(returnTime)
	switch {
	case now < old.until:
		return old.until.Sub(now)
	case now < old.named && old.early < maxEarly:
		return max(old.nextEarlyAt.Sub(now), 0)
	case now < old.named:
		return old.named.Sub(now)
	case now < end:
		if old = old.refilled(now, rate); old.allowance >= 1 {
			return 0
		}
		left := end.Sub(now)
		if rate > 0 {
			left = min(left, dragonflyduration.Duration((1-old.allowance)/rate*float64(dragonflyduration.Second))+1)
		}
		return left
	}
	return 0
}

// WithRequest returns the pauses after a request was sent to this start of the upstream id.
func (p Pauses) WithRequest(now dragonflyinstant.Instant, id string, boot int64, rate float64) Pauses {
	old, ok := p.upstreams.Get(id)
	if !ok || old.boot != boot || !now.Before(old.named.Add(returnTime)) {
		return p
	}
	if now < old.named {
		old.early++
		old.nextEarlyAt = now.Add(old.spacing)
	} else {
		old = old.refilled(now, rate)
		old.allowance--
	}
	p.upstreams = p.upstreams.With(id, old)
	return p
}

// refilled returns the pause with its allowance at now. It begins with one request at the
// end of the pause, and is bounded to the requests of a quarter of a second.
func (p pause) refilled(now dragonflyinstant.Instant, rate float64) pause {
	if p.refilledAt < p.named {
		p.allowance, p.refilledAt = 1, p.named
	}
	p.allowance = min(max(rate/4, 1), p.allowance+rate*now.Sub(p.refilledAt).Seconds())
	p.refilledAt = now
	return p
}

// InProgress returns the pauses that have not ended at now.
func (p Pauses) InProgress(now dragonflyinstant.Instant) (all []dragonflyupstreampause.Pause) {
	for id, old := range p.upstreams.All() {
		if old.named.After(now) {
			all = append(all, dragonflyupstreampause.Pause{ID: id, Boot: old.boot, Age: now.Sub(old.since), Left: old.named.Sub(now)})
		}
	}
	return all
}

// WithTable returns the pauses after a complete routing table, of which bootOf returns the
// start of an upstream. Those of earlier starts, and ended ones of upstreams that are gone,
// are dropped.
func (p Pauses) WithTable(now dragonflyinstant.Instant, bootOf func(id string) (boot int64, ok bool)) Pauses {
	for id, old := range p.upstreams.All() {
		boot, ok := bootOf(id)
		ended := now > old.named.Add(returnTime)
		if ok && boot > old.boot || ended && (!ok || !old.unreadable) {
			p.upstreams = p.upstreams.Without(id)
		}
	}
	return p
}
