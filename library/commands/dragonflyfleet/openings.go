package dragonflyfleet

import (
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflyenginegroup"
)

// An engine may carry out an order to open seconds after it was sent. A later leader that has
// no report of a head does not know whether such an order is on its way, so that the head may
// open after its members have left. The leader that sees a head open records that in the
// replicated log. Members of a head of which there is no such record wait for late orders as well.

// maxDueOpenings is the number of openings that are recorded at once.
const maxDueOpenings = 256

// DueOpenings returns the names of groups whose heads have opened, which is to be recorded in
// the replicated log.
func (f Fleet) DueOpenings() (names []string) {
	for name := range f.dueOpenings.All() {
		if len(names) == maxDueOpenings {
			break
		}
		names = append(names, name)
	}
	return names
}

// noteOpening makes the opening of g due to be recorded.
func (s *step) noteOpening(g group) {
	head, _ := s.upstreams.Get(g.head())
	if m := head.obs.Group; m.Is(g.name, g.epoch) && m.MayServe() && !s.hasOpened(g.name) {
		s.dueOpenings = s.dueOpenings.With(g.name, true)
	}
}

// receiveOpenings applies the recorded openings of the groups.
func (s *step) receiveOpenings(names []string) {
	s.opened = dragonflymap.Map[string, bool]{}
	for _, name := range names {
		s.opened = s.opened.With(name, true)
		s.dueOpenings = s.dueOpenings.Without(name)
	}
}

// hasOpened reports whether the head of the group is recorded to have opened.
func (s *step) hasOpened(name string) bool {
	_, ok := s.opened.Get(name)
	return ok
}

// mayOpenLate reports whether the head of g, which may be the zero upstream, may yet carry out
// an order to open: by its latest report, or if there is none, by the record.
func (s *step) mayOpenLate(g group, head upstream) bool {
	m := head.obs.Group
	if !m.Is(g.name, g.epoch) {
		return !s.hasOpened(g.name)
	}
	return m.State == dragonflyenginegroup.Ready || m.State == dragonflyenginegroup.Joining
}

// isReopened reports whether an order to open the head of g would open it once more: it has
// opened, and an earlier leader has closed it. The record does not show that such an order is on
// its way, so that the group ends instead. A heartbeat alone may be older than the opening.
func (s *step) isReopened(g group, head upstream) bool {
	m := head.obs.Group
	return head.agentReportAt != 0 && m.Is(g.name, g.epoch) && m.State == dragonflyenginegroup.Ready && s.hasOpened(g.name)
}
