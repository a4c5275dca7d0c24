package dragonflyconsensus

import (
	"slices"

	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflymap"
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

// candidacyAt returns when this instance stands for election. One that is not a member stands
// too, because its log may be longer than those of the members, which then cannot win. It has
// no vote of its own, and waits longer, so as not to compete with them.
func (s *step) candidacyAt() dragonflyinstant.Instant {
	if s.IsMember() {
		return s.electionAt
	}
	return s.electionAt.Add(MaxElectionTimeout)
}

// majorityIn reports whether a majority of the members is in votes.
func (s *step) majorityIn(votes dragonflymap.Map[string, bool]) bool {
	return s.members.HasMajority(func(name string) bool {
		granted, _ := votes.Get(name)
		return granted
	})
}
