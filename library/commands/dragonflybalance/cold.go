package dragonflybalance

import (
	"hash/fnv"
	"io"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
)

const (
	// coldShare is the share of a cold upstream's rate limit that is used.
	coldShare = 0.9
	// returnGuard is the time after the return of a zone in which its upstreams count
	// as cold. They may have become cold while they got no requests, and say so with
	// their next heartbeat, of which one may be late.
	returnGuard = 2500 * dragonflyduration.Millisecond
)

// withCold returns e, which counts as cold until the given time. The allowance starts anew
// when it becomes cold.
func (b Balance) withCold(e endpoint, now, until dragonflyinstant.Instant) endpoint {
	if until.After(now) && !e.coldUntil.After(now) {
		e.coldAllowance, e.coldUpdatedAt = b.firstColdAllowance(e.ID), now
	}
	e.coldUntil = until
	return e
}

// firstColdAllowance returns the allowance, from 0 to 1 requests, with which the entry
// starts at an endpoint that has become cold. It is spread over the entries: together
// they reach a whole request at the rate that the endpoint bears. With a whole request
// each, a deployment of many entries would send as many at once.
func (b Balance) firstColdAllowance(id string) float64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, id)
	return float64(mixed(h.Sum64()^mixed(b.seed))>>11) / (1 << 53)
}

// mixed spreads the differences of x over all bits (the finalizer of SplitMix64), since
// seeds may differ in their low bits only.
func mixed(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// withColdRefill returns e with its allowance for requests to a cold endpoint refilled
// at rate requests a second. It bounds a burst to the requests of a quarter of a
// second, at least one.
func (e endpoint) withColdRefill(now dragonflyinstant.Instant, rate float64) endpoint {
	if e.coldUpdatedAt == 0 {
		e.coldAllowance = 1
	} else {
		e.coldAllowance = min(max(rate/4, 1), e.coldAllowance+rate*now.Sub(e.coldUpdatedAt).Seconds())
	}
	e.coldUpdatedAt = now
	return e
}
