package dragonflyconsensus

import (
	"slices"

	"dragonflyrelay.example/library/values/dragonflymemberset"
)

// A deployment bears the loss of an availability zone only while the members in the other
// zones are a majority. Instances that join may be in any zone, and one takes the seat of each
// member that is silent for long enough, so that the members can gather in one zone.

// WithZone returns the state of an instance in the named availability zone.
func (c Consensus) WithZone(name string) Consensus {
	c.zone = name
	return c
}

// zoneOf returns the availability zone of the named instance, "" if it has not replied to this
// leader or does not know its zone.
func (s *step) zoneOf(name string) string {
	if name == s.self {
		return s.zone
	}
	p, _ := s.progress.Get(name)
	return p.zone
}

// largestZone returns the zone with most of the named instances and their number, "" and 0 if
// no zone is known. Of zones with equally many it returns that of the earlier name.
func (s *step) largestZone(names []string) (zone string, size int) {
	sizes := map[string]int{}
	for _, name := range names {
		if z := s.zoneOf(name); z != "" {
			sizes[z]++
		}
	}
	for _, name := range names {
		if z := s.zoneOf(name); sizes[z] > size {
			zone, size = z, sizes[z]
		}
	}
	return zone, size
}

// bearsZoneLoss reports whether a majority of the named members is left if any zone is lost.
func (s *step) bearsZoneLoss(names []string) bool {
	_, size := s.largestZone(names)
	return len(names)-size > len(names)/2
}

// withSuccessor returns the members with the change that replaces old by the one of the ready
// learners that spreads them best.
func (s *step) withSuccessor(old string, ready []string) (next dragonflymemberset.MemberSet) {
	for _, learner := range ready {
		candidate := s.members.WithReplacement(old, learner)
		if next.Empty() || s.spreadsBetter(candidate, next) {
			next = candidate
		}
	}
	return next
}

// spreadsBetter reports whether fewer of the members a are in one zone than of b.
func (s *step) spreadsBetter(a, b dragonflymemberset.MemberSet) bool {
	_, sizeA := s.largestZone(a.Names())
	_, sizeB := s.largestZone(b.Names())
	return sizeA < sizeB
}

// withZonesSpread returns the members with the change that moves a seat out of a zone whose
// loss they do not bear, without one if none helps. The leader keeps its seat if another
// member is in that zone, because its replacement costs an election.
//
// A sound member gives up its seat, so all members must be in contact and all zones known. A
// new leader, which does not know them yet, would otherwise undo a change of the one before.
func (s *step) withZonesSpread(ready []string) dragonflymemberset.MemberSet {
	names := s.members.Names()
	if s.bearsZoneLoss(names) || !s.membersInContact() || slices.ContainsFunc(names, s.lacksZone) {
		return s.members
	}
	ready = slices.DeleteFunc(slices.Clone(ready), func(n string) bool { return s.lacksZone(n) || s.wasStopping(n) })
	zone, _ := s.largestZone(names)
	inZone := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return s.zoneOf(n) != zone })
	if others := slices.DeleteFunc(slices.Clone(inZone), func(n string) bool { return n == s.self }); len(others) > 0 {
		inZone = others
	}
	if len(ready) == 0 || len(inZone) == 0 {
		return s.members
	}
	if next := s.withSuccessor(inZone[0], ready); s.spreadsBetter(next, s.members) {
		return next
	}
	return s.members
}

// membersInContact reports whether all members have replied to this leader, and lately.
func (s *step) membersInContact() bool {
	return !slices.ContainsFunc(s.members.Names(), func(name string) bool {
		p, _ := s.progress.Get(name)
		return name != s.self && (p.ackedSentAt == 0 || s.now.Sub(p.ackedAt) >= contactTimeout)
	})
}

// lacksZone reports whether the zone of the named instance is not known.
func (s *step) lacksZone(name string) bool { return s.zoneOf(name) == "" }

// wasStopping reports whether the named learner has requested to be replaced as a member, and
// has not requested to join since.
func (s *step) wasStopping(name string) bool {
	p, _ := s.progress.Get(name)
	return p.leavingAt != 0
}

// additions returns the ready learners that are to be added, those first that spread the
// members best. Members are added only while all are in contact, since the zone of one that
// is not may be unknown.
func (s *step) additions(ready []string) (added []string) {
	if !s.membersInContact() {
		return nil
	}
	before := s.members.Names()
	next := slices.Clone(before)
	for range s.missingMembers(len(ready)) {
		best := ""
		for _, learner := range ready {
			if slices.Contains(added, learner) {
				continue
			}
			if best == "" || s.sizeWith(next, learner) < s.sizeWith(next, best) {
				best = learner
			}
		}
		added, next = append(added, best), append(next, best)
	}
	if s.concentrates(before, next) {
		return nil
	}
	return added
}

// concentrates reports whether the members next bear the loss of a zone less than before,
// although not all of them are in one zone. Members are never removed, so that the zone would
// keep the majority when the instances of other zones are back.
func (s *step) concentrates(before, next []string) bool {
	_, sizeBefore := s.largestZone(before)
	_, size := s.largestZone(next)
	return !s.bearsZoneLoss(next) && size < len(next) && size-len(next)/2 > sizeBefore-len(before)/2
}

// sizeWith returns the number of instances in the largest zone of names and one more.
func (s *step) sizeWith(names []string, name string) int {
	_, size := s.largestZone(append(slices.Clone(names), name))
	return size
}
