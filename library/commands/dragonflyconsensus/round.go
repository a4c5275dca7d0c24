package dragonflyconsensus

import (
	"slices"

	"dragonflyrelay.example/library/values/dragonflyelectionround"
)

// electionRound returns the outcome so far of the round in which this instance asks for
// pre-votes or votes.
func (c Consensus) electionRound() (r dragonflyelectionround.ElectionRound) {
	if c.role != preCandidate && c.role != candidate {
		return r
	}
	for _, m := range c.members.All() {
		_, preVote := c.preVotes.Get(m)
		reason, refused := c.refusals.Get(m)
		switch {
		case refused:
			r.Refused = append(r.Refused, m+": "+reason)
		case preVote:
			r.Granted = append(r.Granted, m)
		}
	}
	slices.Sort(r.Refused)
	return r
}
