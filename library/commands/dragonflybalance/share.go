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
	// shareHalfLife is the time in which what was sent loses half of its weight. It
	// spans some ten passes of an engine.
	shareHalfLife = dragonflyduration.Second
	// writeTokens is the prompt whose reading costs an engine about as much as
	// writing the answer of a request.
	writeTokens = 300
)

// share is what an entry has sent to a group lately, in prompt tokens.
type share struct {
	tokens float64
	at     dragonflyinstant.Instant
}

// decayed returns s as it stands at now.
func (s share) decayed(now dragonflyinstant.Instant) share {
	if s.tokens > 0 {
		s.tokens *= math.Exp2(-now.Sub(s.at).Seconds() / shareHalfLife.Seconds())
	}
	s.at = now
	return s
}

// with returns s after another request of tokens.
func (s share) with(tokens float64) share {
	s.tokens += tokens + writeTokens
	return s
}

// weigh returns what the group of e has been given, with a request of tokens,
// for its speed.
func (e endpoint) weigh(tokens float64) float64 {
	return e.sent.with(tokens).tokens * float64(e.ahead)
}

// newcomerShare returns what a group that has just been found counts as having
// been sent: the mean of its model's other groups. With less, all entries would
// send their next requests there.
func (b Balance) newcomerShare(now dragonflyinstant.Instant, service, model string) share {
	sum, n := 0.0, 0
	for _, e := range b.endpoints.All() {
		if e.Service == service && e.Model == model && e.Model != "" {
			sum += e.sent.decayed(now).tokens
			n++
		}
	}
	return share{tokens: sum / float64(max(n, 1)), at: now}
}
