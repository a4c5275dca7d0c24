package dragonflybalance

import (
	"math"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflymodeldemand"
)

// An entry doesn't see what the other entries have just sent, and its measured pass
// time lags by several passes. If each entry chose the group with the shortest pass,
// all of them would choose the same one. So an entry spreads its own prompts over the
// groups, in proportion to their speed.
const (
	// recentHalfLife is the half-life of the weight of a sent request. It spans about
	// ten passes of an engine.
	recentHalfLife = dragonflyduration.Second
)

// recentUsage is the decaying sum of the work that an entry has sent to a group, in
// prompt tokens.
type recentUsage struct {
	tokens    float64
	updatedAt dragonflyinstant.Instant
}

// decayed returns s decayed to the time now.
func (s recentUsage) decayed(now dragonflyinstant.Instant) recentUsage {
	if s.tokens > 0 {
		s.tokens *= math.Exp2(-now.Sub(s.updatedAt).Seconds() / recentHalfLife.Seconds())
	}
	s.updatedAt = now
	return s
}

// withRequest returns s after another request with a prompt of the given tokens.
func (s recentUsage) withRequest(tokens float64) recentUsage {
	s.tokens += tokens + dragonflymodeldemand.DecodeTokens
	return s
}

// costWith returns the recent usage of e's group, including a request with a prompt of
// the given tokens, weighted by the group's expected wait.
func (e endpoint) costWith(tokens float64) float64 {
	return e.recent.withRequest(tokens).tokens * float64(e.expectedWait)
}

// initialUsage returns the recent usage that a new group starts with: the mean of its
// model's other groups. With less, all entries would send their next requests to it.
func (b Balance) initialUsage(now dragonflyinstant.Instant, service, model string) recentUsage {
	sum, n := 0.0, 0
	for _, e := range b.endpoints.All() {
		if e.Service == service && e.Model == model && e.Model != "" {
			sum += e.recent.decayed(now).tokens
			n++
		}
	}
	return recentUsage{tokens: sum / float64(max(n, 1)), updatedAt: now}
}
