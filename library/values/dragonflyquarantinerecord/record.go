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
	// Released are the keys that operators have released latest, oldest first, and Releases is the
	// number of all releases.
	Released []string
	Releases uint64
}

// maxReleased bounds the releases that a record lists. Control applies each within seconds.
const maxReleased = 64

// WithReleases returns r, a later record of the leader, with the releases of before.
func (r Record) WithReleases(before Record) Record {
	r.Released, r.Releases = before.Released, before.Releases
	return r
}

// WithoutKey returns the next version of r without the key id, which an operator has released, and
// without its crashes.
func (r Record) WithoutKey(id string) Record {
	r.Version, r.Releases = r.Version+1, r.Releases+1
	r.Released = append(slices.Clone(r.Released), id)
	r.Released = r.Released[max(0, len(r.Released)-maxReleased):]
	r.Parts = slices.DeleteFunc(slices.Clone(r.Parts), func(p dragonflyquarantinedpart.Part) bool { return p.ID == id })
	isKey := func(p dragonflypromptpart.Part) bool { return p.ID == id }
	r.Losses = slices.DeleteFunc(slices.Clone(r.Losses), func(l dragonflyloss.Loss) bool { return slices.ContainsFunc(l.Parts, isKey) })
	return r
}

// ReleasedSince returns the keys that operators have released since the record before.
func (r Record) ReleasedSince(before Record) []string {
	n := min(r.Releases-min(before.Releases, r.Releases), uint64(len(r.Released)))
	return r.Released[len(r.Released)-int(n):]
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
