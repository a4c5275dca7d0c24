package dragonflyfleet

import (
	"dragonflyrelay.example/library/values/dragonflyleavingupstream"
	"dragonflyrelay.example/library/values/dragonflyobservation"
)

// observeLeaving applies the upstreams that leave by the answers that the entry process has
// seen. They count as draining from now on, since their own heartbeats may say so later.
func (s *step) observeLeaving(process string, leaving []dragonflyleavingupstream.Upstream) {
	if !s.leads {
		return
	}
	for _, l := range leaving {
		s.leaving = s.leaving.WithAnswer(s.now.Add(-l.Age), l.ID, l.Boot)
		u, ok := s.upstreams.Get(l.ID)
		if o := s.withLeaving(u.obs); ok && o.State != u.obs.State {
			u.obs, u.stateSince = o, s.now
			s.upstreams = s.upstreams.With(l.ID, u)
			s.noteOrderChange(o.Address)
			s.emit("upstream-leaving", l.ID, "", "its answers to "+process+" say so")
		}
	}
}

// withLeaving returns the report o as that of a draining upstream if its answers say that
// it leaves.
func (s *step) withLeaving(o dragonflyobservation.Observation) dragonflyobservation.Observation {
	if o.State == dragonflyobservation.Ready && s.leaving.Has(o.ID, o.Boot) {
		o.State = dragonflyobservation.Draining
	}
	return o
}

// removeLeaving forgets earlier starts of upstreams, and those that are gone.
func (s *step) removeLeaving() {
	if s.AllReported(s.now) {
		s.leaving = s.leaving.WithTable(s.now, func(id string) (boot int64, ok bool) {
			u, ok := s.upstreams.Get(id)
			return u.obs.Boot, ok
		})
	}
}
