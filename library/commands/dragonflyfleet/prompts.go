package dragonflyfleet

import (
	"slices"
	"strings"

	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyfleetevent"
	"dragonflyrelay.example/library/values/dragonflyoccurrence"
	"dragonflyrelay.example/library/values/dragonflysurvivors"
)

// observeEntry applies what an entry has seen of requests and of the parts of prompts.
// Instances that do not lead keep the quarantine as well: they answer entries that find no
// leader, and one of them is the next leader. Probes are up to the leader.
func (s *step) observeEntry(ev dragonflyfleetevent.Event) {
	if len(ev.Losses)+len(ev.Parts)+len(ev.Quarantine) == 0 {
		return
	}
	before := s.quarantine.Revision()
	if s.leads && ev.EntryTerm != s.term {
		s.quarantine = s.quarantine.WithKnown(s.now, ev.Quarantine)
	}
	losses, parts := slices.Clone(ev.Losses), slices.Clone(ev.Parts)
	for i, l := range losses {
		losses[i].Refused = l.Refused && !s.leaves(l.ID, l.Boot)
	}
	for i := range parts {
		parts[i].Wanted = parts[i].Wanted && s.leads
	}
	next, occurrences := s.quarantine.WithLosses(s.now, losses).WithParts(s.now, s.term, ev.Process, parts)
	s.quarantine = next
	s.occurrences = append(s.occurrences, occurrences...)
	s.noteQuarantineChange(before)
}

// decideQuarantine finds the requests and the parts of prompts that crash servers, once a tick: its cost
// grows with the crashes, and many entries report each of them.
func (s *step) decideQuarantine() {
	if s.quarantine.Empty() {
		return
	}
	before := s.quarantine.Revision()
	var occurrences []dragonflyoccurrence.Occurrence
	if s.leads {
		s.quarantine = s.quarantine.WithSurvivors(s.now, dragonflysurvivors.Survivors{Site: s.site, LivedOn: s.siteLivedOn})
	}
	s.quarantine, occurrences = s.quarantine.Decide(s.now, s.stopped)
	s.occurrences = append(s.occurrences, occurrences...)
	s.noteQuarantineChange(before)
}

func (s *step) noteQuarantineChange(before uint64) {
	if s.quarantine.Revision() != before {
		s.changes++
	}
}

// stopped reports whether the start boot of the upstream id is known to have ended
// without leaving.
func (s *step) stopped(id string, boot int64) bool {
	if s.leaves(id, boot) {
		return false
	}
	u, ok := s.upstreams.Get(id)
	if !ok {
		silent, removed := s.silentBoots.Get(id)
		return s.AllReported(s.now) && (!removed || silent.boot != boot)
	}
	return u.unreachable || u.obs.Boot > boot
}

// site names the domain of the upstream id, or its zone if it has no domain.
func (s *step) site(id string) string {
	u, ok := s.upstreams.Get(id)
	if !ok {
		return ""
	}
	return u.obs.Zone + "/" + u.obs.Domain
}

// siteLivedOn reports whether at least half of the upstreams of the site are in order and have
// reported since the given instant. Those of a zone include all of its domains. A single one does
// not show whether the site stopped.
func (s *step) siteLivedOn(site string, since dragonflyinstant.Instant) bool {
	zone, domain, _ := strings.Cut(site, "/")
	all, alive := 0, 0
	for _, u := range s.upstreams.All() {
		if u.obs.Zone != zone || domain != "" && u.obs.Domain != domain {
			continue
		}
		all++
		if u.lastReportAt().After(since) && !u.unreachable && !u.silent {
			alive++
		}
	}
	return alive > 1 && 2*alive >= all
}

// leaves reports whether the start boot of the upstream id has left or is about to. Such an
// upstream stops listening before it signs off.
func (s *step) leaves(id string, boot int64) bool {
	if left, ok := s.leftBoots.Get(id); ok && boot <= left.boot {
		return true
	}
	u, ok := s.upstreams.Get(id)
	return ok && u.obs.Boot == boot && leaving(u)
}
