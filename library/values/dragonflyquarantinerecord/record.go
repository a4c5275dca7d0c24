// Package dragonflyquarantinerecord defines what the replicated log holds of the quarantine, so that
// it outlasts all processes.
package dragonflyquarantinerecord

import (
	"cmp"
	"slices"

	"dragonflyrelay.example/library/values/dragonflyloss"
	"dragonflyrelay.example/library/values/dragonflypromptpart"
	"dragonflyrelay.example/library/values/dragonflyquarantinedpart"
)

// Record is the quarantine of a leader at one time. Its ages count from then.
type Record struct {
	// Term is that of the leader, and Version rises with each of its records.
	Term, Version uint64
	// Parts are the quarantined keys.
	Parts []dragonflyquarantinedpart.Part
	// Losses are the crashes with the keys that were not answered since.
	Losses []dragonflyloss.Loss
}

// After reports whether r was made after other.
func (r Record) After(other Record) bool {
	return cmp.Or(cmp.Compare(r.Term, other.Term), cmp.Compare(r.Version, other.Version)) > 0
}

// Empty reports whether r holds nothing.
func (r Record) Empty() bool { return len(r.Parts)+len(r.Losses) == 0 }

// Same reports whether r and other hold the same keys with the same counts of crashes. Ages do not
// matter.
func (r Record) Same(other Record) bool {
	samePart := func(a, b dragonflyquarantinedpart.Part) bool {
		return a.ID == b.ID && a.Crashes == b.Crashes && a.LateCrashes == b.LateCrashes && a.FailedProbes == b.FailedProbes
	}
	sameKey := func(a, b dragonflypromptpart.Part) bool { return a.ID == b.ID }
	sameLoss := func(a, b dragonflyloss.Loss) bool {
		return a.ID == b.ID && a.Boot == b.Boot && slices.EqualFunc(a.Parts, b.Parts, sameKey)
	}
	return slices.EqualFunc(r.Parts, other.Parts, samePart) && slices.EqualFunc(r.Losses, other.Losses, sameLoss)
}
