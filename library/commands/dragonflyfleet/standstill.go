package dragonflyfleet

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyfleetevent"
	"dragonflyrelay.example/library/values/dragonflyoccurrence"
)

// standstill is the time between two events from which this instance was not running: ticks
// come more often.
const standstill = dragonflyduration.Second

// lateLogInterval bounds the occurrences of a late instance.
const lateLogInterval = dragonflyduration.Second

// noteStandstill records a time in which this instance did not run. Reports of that time
// wait to be read, so it does not count as silence of those who sent them.
func (s *step) noteStandstill() {
	if gap := s.now.Sub(s.steppedAt); s.leads && s.steppedAt != 0 && gap > standstill {
		s.resumedAt = s.now
		s.extendHolds(gap)
		s.emit("control-stood-still", "", "", "no event for "+seconds(gap))
	}
	s.steppedAt = s.now
}

// noteLateness records that the event ev has waited for longer than a standstill: this instance
// handles reports later than they arrive, so that others that wait do not count as silence.
func (s *step) noteLateness(ev dragonflyfleetevent.Event) {
	if !s.leads || ev.ArrivedAt == 0 || s.now.Sub(ev.ArrivedAt) <= standstill {
		return
	}
	s.resumedAt = s.now
	if s.now.Sub(s.lateLoggedAt) >= lateLogInterval {
		s.lateLoggedAt = s.now
		detail := "a report has waited for " + seconds(s.now.Sub(ev.ArrivedAt))
		s.occurrences = append(s.occurrences, dragonflyoccurrence.Occurrence{Event: "control-late", Detail: detail})
	}
}

// extendHolds holds the engines that were held before a standstill for its duration longer: the
// heads of their former groups may have stood still as well, on the same machine.
func (s *step) extendHolds(gap dragonflyduration.Duration) {
	for id, u := range s.upstreams.All() {
		if u.heldUntil != 0 && u.heldUntil.Add(lateOrderTime) > s.steppedAt {
			u.heldUntil = u.heldUntil.Add(gap)
			s.upstreams = s.upstreams.With(id, u)
		}
	}
}

// silence returns the time since at in which this instance could have received reports.
func (s *step) silence(at dragonflyinstant.Instant) dragonflyduration.Duration {
	return s.now.Sub(max(at, s.leaderSince, s.resumedAt))
}
