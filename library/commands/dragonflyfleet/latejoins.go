package dragonflyfleet

import (
	"slices"
	"strings"

	"dragonflyrelay.example/library/values/dragonflyenginegroup"
)

// An engine may carry out an order to join seconds after it was sent, and join a group of an
// earlier leader while the order of this leader to join another one is on its way. A head must
// not open in the first group: a member that carries out the second order would join another
// group while that head is at work.

// withJoinOrder returns u, which is ordered to join a group of the epoch from now on.
func (u upstream) withJoinOrder(epoch uint64) upstream {
	u.joinEpoch = max(u.joinEpoch, epoch)
	return u
}

// overtaken returns the id of the first member of g that this leader has ordered to join a later
// group, or "". An engine that has joined that one refuses to join g, so that only members
// that have not may report g.
func (s *step) overtaken(g group) (id string) {
	for _, id := range g.members {
		if u, _ := s.upstreams.Get(id); u.joinEpoch > g.epoch {
			return id
		}
	}
	return ""
}

// hasJoinedLate reports whether u, which is ordered to join g, is in a group of an earlier epoch.
func hasJoinedLate(g group, u upstream) bool {
	in := u.obs.Group
	return in.State != dragonflyenginegroup.None && in.Epoch < g.epoch && !strings.HasPrefix(in.Name, standbyPrefix)
}

// lacksMember reports whether a member of g belongs to another group, by its own report.
func (s *step) lacksMember(g group) bool {
	return slices.ContainsFunc(g.members, func(id string) bool {
		name, grouped := s.memberOf.Get(id)
		return grouped && name != g.name
	})
}
