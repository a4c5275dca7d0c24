package dragonflyquarantine

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyquarantinerecord"
)

// unrecordedTime is how long an instance without the lead holds a key that the leader has not
// recorded. It receives no answers and may be wrong.
const unrecordedTime = dragonflyduration.Minute

// Record returns what is to outlast all processes.
func (q Quarantine) Record(now dragonflyinstant.Instant) dragonflyquarantinerecord.Record {
	return dragonflyquarantinerecord.Record{Parts: q.Parts(now, ""), Losses: q.crashes.Record(now)}
}

// WithRecord returns the quarantine of an instance that has applied a record of the leader. What was
// recorded before and no longer is has been released.
func (q Quarantine) WithRecord(now dragonflyinstant.Instant, r dragonflyquarantinerecord.Record) Quarantine {
	recorded := map[string]bool{}
	for _, p := range r.Parts {
		recorded[p.ID] = true
	}
	for id, e := range q.all() {
		if e.recorded && !recorded[id] {
			q = q.released(id)
		}
	}
	q = q.WithKnown(now, r.Parts)
	for id, e := range q.all() {
		if recorded[id] && !e.recorded {
			e.recorded = true
			q = q.withPart(id, e)
		}
	}
	q.crashes = q.crashes.WithRecord(now, r.Losses)
	return q
}

// WithoutKey returns the quarantine without the key id and its crashes, which an operator has
// released.
func (q Quarantine) WithoutKey(id string) Quarantine {
	q.crashes = q.crashes.WithoutCrashesOf(id)
	if !q.Quarantines(id) {
		return q
	}
	return q.released(id)
}

// withoutUnrecorded returns the quarantine of an instance without the lead without the keys that the
// leader does not record.
func (q Quarantine) withoutUnrecorded(now dragonflyinstant.Instant) Quarantine {
	for id, e := range q.all() {
		if !e.recorded && now.Sub(e.heldAt) > unrecordedTime {
			q = q.released(id)
		}
	}
	return q
}
