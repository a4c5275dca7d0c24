package dragonflyfleet

import (
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyobservation"
)

// refusedHead is the head of a group whose address refuses connections, by the reports of the
// agent beside it. They name the group in which that agent has last seen it: a leader that has
// had no heartbeat of the head does not know its address.
type refusedHead struct {
	epoch     uint64
	since, at dragonflyinstant.Instant // the first and the latest of these reports
}

// noteRefusedHead records the group that the report o of an agent names, if its head refuses
// connections. A head that has started again is in no group, so that a late report is true.
// Agents of earlier versions, and those that have started since, name no group.
func (s *step) noteRefusedHead(o dragonflyobservation.Observation) {
	if o.State != dragonflyobservation.Unreachable || !o.Refused || o.Group.Name == "" || o.Group.Rank != 0 {
		return
	}
	r, _ := s.refusedHeads.Get(o.Group.Name)
	if r.epoch != o.Group.Epoch {
		r = refusedHead{epoch: o.Group.Epoch, since: s.now}
		if _, known := s.addresses.Get(o.Address); !known {
			s.emit("head-refused", "", o.Group.Name, "the head at "+o.Address+", not heard of yet, refuses connections of the agent beside it")
		}
	}
	r.at = s.now
	s.refusedHeads = s.refusedHeads.With(o.Group.Name, r)
}

// removeRefusedHeads forgets the heads of which no agent has reported for RemoveAfter.
func (s *step) removeRefusedHeads() {
	for name, r := range s.refusedHeads.All() {
		if s.silence(r.at) > RemoveAfter {
			s.refusedHeads = s.refusedHeads.Without(name)
		}
	}
}

// hasRefusedHead reports whether the head of g has not been heard of, refuses connections and
// has no streams any more. Which entries had some is not known without its id.
func (s *step) hasRefusedHead(g group) bool {
	r, ok := s.refusedHeads.Get(g.name)
	return ok && g.head() == "" && r.epoch == g.epoch && s.now.Sub(r.since) >= s.longestStream+StreamEndTime
}
