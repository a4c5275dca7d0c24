package dragonflyfleet

import (
	"slices"

	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyobservation"
)

// latestReport identifies the latest report of the agent on a machine. Older ones may arrive
// after it: a link that was cut delivers seconds later what it has held back.
type latestReport struct {
	at                 dragonflyinstant.Instant
	reporter, sequence uint64
	former             [4]uint64 // the starts of the agent before reporter, the latest first
}

// acceptReport records the report o of an agent, and reports whether it is newer than those
// before.
func (s *step) acceptReport(o dragonflyobservation.Observation) bool {
	if o.Reporter == 0 {
		return true
	}
	r, _ := s.reports.Get(o.Address)
	switch {
	case o.Reporter == r.reporter && o.Sequence <= r.sequence, slices.Contains(r.former[:], o.Reporter):
		return false
	case o.Reporter != r.reporter:
		copy(r.former[1:], r.former[:])
		r.former[0] = r.reporter
	}
	r.at, r.reporter, r.sequence = s.now, o.Reporter, o.Sequence
	s.reports = s.reports.With(o.Address, r)
	return true
}

// removeReports forgets agents that have not reported for RemoveAfter.
func (s *step) removeReports() {
	for address, r := range s.reports.All() {
		if s.silence(r.at) > RemoveAfter {
			s.reports = s.reports.Without(address)
		}
	}
}
