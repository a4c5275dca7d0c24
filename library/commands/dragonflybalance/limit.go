package dragonflybalance

import (
	"math"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflybalanceevent"
	"dragonflyrelay.example/library/values/dragonflyendpointlimit"
)

const (
	// limitShare is the share of a limit that is used. Entries learn of a limit, and of
	// each other, at different times.
	limitShare = 0.9
	// permitTime is how long an unused permission to send to a limited endpoint holds.
	// Entries that save up permissions would use them at the same moment.
	permitTime = dragonflyduration.Second
	// minLimit is the least rate, in requests a second of all entries, at which requests
	// are sent to a limited endpoint. Only an answer can say that the limit has ended.
	minLimit = 0.2
	// absentLimitTime is the age at which the limit of an endpoint without a row in the
	// table is dropped.
	absentLimitTime = dragonflyduration.Minute
	// limitTolerance is the change of a limit, as a share of it, that is not reported. An
	// upstream may name another limit in each answer.
	limitTolerance = 0.05
	// maxLimits bounds the endpoints whose limits are kept.
	maxLimits = 4096
)

// limit is what the latest known answer of an endpoint says of its limit.
type limit struct {
	boot     int64
	limited  bool
	rate     float64
	reported float64                  // rate at the latest number
	at       dragonflyinstant.Instant // of the answer
	sequence uint64                   // rises with each change
	permitAt dragonflyinstant.Instant // earliest permission that is not used
}

// withAnsweredLimit records what an answer of an endpoint says of its limit.
func (b Balance) withAnsweredLimit(now dragonflyinstant.Instant, ev dragonflybalanceevent.Event) Balance {
	for _, l := range ev.Limits {
		b = b.withLimit(now, l.ID, limit{boot: l.Boot, limited: l.Limited, rate: l.Rate, at: now}, true)
	}
	return b
}

// withReceivedLimits records the limits that other entries have seen. Their ages count
// from the time at which they were asked for.
func (b Balance) withReceivedLimits(now dragonflyinstant.Instant, ev dragonflybalanceevent.Event) Balance {
	for _, l := range ev.Limits {
		b = b.withLimit(now, l.ID, limit{boot: l.Boot, limited: l.Limited, rate: l.Rate, at: ev.AskedAt.Add(-l.Age)}, false)
	}
	return b
}

// withLimit records the limit l of the endpoint id unless a later answer is known. One that
// differs noticeably, and that control does not know, gets the next number.
func (b Balance) withLimit(now dragonflyinstant.Instant, id string, l limit, isNew bool) Balance {
	old, known := b.rateLimits.Get(id)
	if known && (old.boot > l.boot || old.boot == l.boot && old.at.After(l.at)) || !known && (!l.limited || b.rateLimits.Len() >= maxLimits) {
		return b
	}
	same := known && old.boot == l.boot && old.limited == l.limited && math.Abs(old.reported-l.rate) <= limitTolerance*old.reported
	l.sequence, l.reported, l.permitAt = old.sequence, old.reported, old.permitAt
	if !same {
		l.reported = l.rate
	}
	if !same && isNew {
		b.limitSequence++
		l.sequence = b.limitSequence
	}
	if !known || old.boot != l.boot || !old.limited {
		// The first permissions of the entries are spread over their interval.
		l.permitAt = now.Add(dragonflyduration.Duration(b.firstColdAllowance(id) * float64(b.permitInterval(l))))
	}
	b.rateLimits = b.rateLimits.With(id, l)
	return b
}

// permitInterval returns the time between two requests of this entry to an endpoint.
func (b Balance) permitInterval(l limit) dragonflyduration.Duration {
	rate := max(l.rate, minLimit) * limitShare / b.entries.divisor()
	return dragonflyduration.Duration(math.Ceil(float64(dragonflyduration.Second) / rate))
}

// permitted returns the limit of the endpoint id with the permissions dropped that have
// not been used in time, and whether a request may be sent to it now.
func (b Balance) permitted(now dragonflyinstant.Instant, id string, boot int64) (l limit, ok bool) {
	l, known := b.rateLimits.Get(id)
	if !known || !l.limited || l.boot != boot {
		return l, true
	}
	interval := b.permitInterval(l)
	l.permitAt = min(l.permitAt, now.Add(interval))
	if late := now.Add(-permitTime).Sub(l.permitAt); late > 0 {
		l.permitAt = l.permitAt.Add((late + interval - 1) / interval * interval)
	}
	return l, !l.permitAt.After(now)
}

// withRequestTo uses up a permission to send to the endpoint id if it is limited.
func (b Balance) withRequestTo(now dragonflyinstant.Instant, id string, boot int64) Balance {
	l, known := b.rateLimits.Get(id)
	if !known || !l.limited || l.boot != boot {
		return b
	}
	l, _ = b.permitted(now, id, boot)
	l.permitAt = l.permitAt.Add(b.permitInterval(l))
	b.rateLimits = b.rateLimits.With(id, l)
	return b
}

// withoutOldLimits drops the limits of earlier starts of endpoints, and of endpoints that
// are gone. An endpoint may be missing from the table while its group forms again.
func (b Balance) withoutOldLimits(now dragonflyinstant.Instant) Balance {
	for id, l := range b.rateLimits.All() {
		e, ok := b.endpoints.Get(id)
		if ok && e.Boot > l.boot || !ok && now.Sub(l.at) > absentLimitTime {
			b.rateLimits = b.rateLimits.Without(id)
		}
	}
	return b
}

// LimitSequence returns the number of the latest change of a limit that this entry has
// seen in an answer.
func (b Balance) LimitSequence() uint64 { return b.limitSequence }

// Limits returns the limits with numbers above after, as this entry has seen them, or all
// known ones.
func (b Balance) Limits(now dragonflyinstant.Instant, after uint64, all bool) (limits []dragonflyendpointlimit.Limit) {
	for id, l := range b.rateLimits.All() {
		if all || l.sequence > after {
			limits = append(limits, dragonflyendpointlimit.Limit{ID: id, Boot: l.boot, Limited: l.limited, Rate: l.rate, Age: now.Sub(l.at)})
		}
	}
	return limits
}

// Limited reports whether the endpoint id is known to be limited.
func (b Balance) Limited(id string, boot int64) bool {
	l, ok := b.rateLimits.Get(id)
	return ok && l.limited && l.boot == boot
}
