package dragonflyfleet

import (
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyfleetevent"
	"dragonflyrelay.example/library/values/dragonflyquarantinerecord"
)

// The leader records the quarantine in the replicated log: no other process has it after all of
// them were killed, and instances without the lead receive no answers that speak for keys.

// DueRecord returns the quarantine of the leader if it is to be recorded: the log holds another
// one.
func (f Fleet) DueRecord(now dragonflyinstant.Instant) (r dragonflyquarantinerecord.Record, isDue bool) {
	if !f.leads || !f.recordRead || f.quarantine.Empty() && f.recorded.Empty() {
		return r, false
	}
	r = f.quarantine.Record(now)
	if r.Same(f.recorded) {
		return r, false
	}
	r.Term, r.Version = f.term, f.recorded.Version+1
	return r, true
}

// receiveRecord applies the recorded quarantine. The leader has its own records already, and knows
// all earlier ones once the log is applied up to its term.
func (s *step) receiveRecord(ev dragonflyfleetevent.Event) {
	if ev.Record.After(s.recorded) {
		before := s.quarantine.Revision()
		for _, id := range ev.Record.ReleasedSince(s.recorded) {
			s.quarantine = s.quarantine.WithoutKey(id)
			s.record("part-released", "", id+": an operator has released it")
		}
		if isOwn := s.leads && ev.Record.Term == s.term; !isOwn {
			s.quarantine = s.quarantine.WithRecord(s.now, ev.Record)
		}
		s.recorded = ev.Record
		s.noteQuarantineChange(before)
	}
	s.recordRead = s.recordRead || s.leads && ev.Term >= s.term
}
