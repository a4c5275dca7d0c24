package dragonflyfleet

import (
	"fmt"

	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyobservation"
	"dragonflyrelay.example/library/values/dragonflyupstreamcondition"
	"dragonflyrelay.example/library/values/dragonflyupstreampause"
)

// pauses are the pauses that one entry has reported at a time.
type pauses struct {
	at  dragonflyinstant.Instant
	all []dragonflyupstreampause.Pause
}

// observePauses keeps the pauses that upstreams have asked the entry process for, so that
// operators see them. They concern that entry only.
func (s *step) observePauses(process string, all []dragonflyupstreampause.Pause) {
	if s.leads && len(all) > 0 {
		s.pauses = s.pauses.With(process, pauses{at: s.now, all: all})
	}
}

// removePauses drops the reports of entries that do not follow this leader any more.
func (s *step) removePauses() {
	for process := range s.pauses.All() {
		if _, ok := s.entriesAskedAt.Get(process); !ok {
			s.pauses = s.pauses.Without(process)
		}
	}
}

// Conditions returns what keeps requests from upstreams at now, by upstream. A fleet that
// does not lead knows of nothing.
func (f Fleet) Conditions(now dragonflyinstant.Instant) (all []dragonflyupstreamcondition.Condition) {
	for id, u := range f.upstreams.All() {
		for _, c := range f.upstreamConditions(now, id, u) {
			c.Upstream, c.Service = id, u.obs.Service
			all = append(all, c)
		}
	}
	for _, p := range f.quarantine.Parts(now, "") {
		all = append(all, dragonflyupstreamcondition.Condition{
			Kind: dragonflyupstreamcondition.Quarantined, Upstream: p.ID, Since: p.Since, Reason: "engines crash with it",
		})
	}
	return all
}

func (f Fleet) upstreamConditions(now dragonflyinstant.Instant, id string, u upstream) (all []dragonflyupstreamcondition.Condition) {
	if u.obs.State != dragonflyobservation.Ready {
		reason := "heartbeat"
		if f.leaving.Has(id, u.obs.Boot) {
			reason = "answers to entries"
		}
		all = append(all, dragonflyupstreamcondition.Condition{Kind: dragonflyupstreamcondition.Leaving, Since: now.Sub(u.stateSince), Reason: reason})
	}
	for process, p := range f.pauses.All() {
		for _, one := range p.all {
			if passed := now.Sub(p.at); one.ID == id && one.Boot == u.obs.Boot && one.Left > passed {
				all = append(all, dragonflyupstreamcondition.Condition{
					Kind: dragonflyupstreamcondition.Pausing, Since: one.Age + passed,
					Reason: fmt.Sprintf("answer to %s, ends in %s", process, seconds(one.Left-passed)),
				})
			}
		}
	}
	if l, ok := f.limits.Get(id); ok && l.limited && l.boot == u.obs.Boot {
		all = append(all, dragonflyupstreamcondition.Condition{
			Kind: dragonflyupstreamcondition.Limited, Since: now.Sub(l.since), Reason: fmt.Sprintf("takes %g requests a second", l.rate),
		})
	}
	return all
}
