package dragonflybalance

import (
	"math"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
)

// An entry cannot see what the other entries have just sent, and the pass that it
// measures lags by several passes. If each entry took the group with the shortest
// pass, all of them would take the same one. So an entry spreads its own prompts
// over the groups, in proportion to their speed.
const (
	// recentHalfLife is the time in which what was sent loses half of its weight. It
	// spans some ten passes of an engine.
	recentHalfLife = dragonflyduration.Second
	// decodeTokens is the prompt whose reading costs an engine about as much as
	// writing the answer of a request.
	decodeTokens = 300
)

// recentUsage is what an entry has sent to a group lately, in prompt tokens.
type recentUsage struct {
	tokens    float64
	updatedAt dragonflyinstant.Instant
}

// decayed returns s as it stands at now.
func (s recentUsage) decayed(now dragonflyinstant.Instant) recentUsage {
	if s.tokens > 0 {
		s.tokens *= math.Exp2(-now.Sub(s.updatedAt).Seconds() / recentHalfLife.Seconds())
	}
	s.updatedAt = now
	return s
}

// withRequest returns s after another request of tokens.
func (s recentUsage) withRequest(tokens float64) recentUsage {
	s.tokens += tokens + decodeTokens
	return s
}

// costWith returns what the group of e has been given, with a request of tokens,
// for its speed.
func (e endpoint) costWith(tokens float64) float64 {
	return e.recent.withRequest(tokens).tokens * float64(e.expectedWait)
}

// initialUsage returns what a group that has just been found counts as having
// been sent: the mean of its model's other groups. With less, all entries would
// send their next requests there.
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
