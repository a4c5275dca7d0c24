package dragonflycluster

import (
	"slices"

	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyquarantinedpart"
	"dragonflyrelay.example/library/values/dragonflyquarantinerecord"
	"dragonflyrelay.example/library/values/dragonflyresult"
)

// Quarantine returns the latest record of the quarantine.
func (c Cluster) Quarantine() dragonflyquarantinerecord.Record { return c.quarantine }

// recordQuarantine replaces the record of the quarantine, unless that is a later one.
func (c Cluster) recordQuarantine(ch dragonflychange.Change) (Cluster, dragonflyresult.Result) {
	if ch.Quarantine.After(c.quarantine) {
		c.quarantine = ch.Quarantine.WithReleases(c.quarantine)
	}
	return c, c.accepted()
}

// releaseKey removes a key from the record of the quarantine. The leader applies that to its own.
func (c Cluster) releaseKey(ch dragonflychange.Change) (Cluster, dragonflyresult.Result) {
	isKey := func(p dragonflyquarantinedpart.Part) bool { return p.ID == ch.Key }
	if fault := checkExists(slices.ContainsFunc(c.quarantine.Parts, isKey), "quarantined key", ch.Key); fault != "" {
		return c, c.invalid(fault)
	}
	c.quarantine = c.quarantine.WithoutKey(ch.Key)
	return c, c.accepted()
}

// checkQuarantine validates the bounds of a record of the quarantine.
func checkQuarantine(r dragonflyquarantinerecord.Record) (fault string) {
	keys, longest := len(r.Parts), 0
	for _, p := range r.Parts {
		longest = max(longest, len(p.ID))
	}
	for _, l := range r.Losses {
		keys += len(l.Parts)
		longest = max(longest, len(l.ID))
		for _, p := range l.Parts {
			longest = max(longest, len(p.ID))
		}
	}
	return firstFault(
		checkRange("number of keys", keys, 0, maxQuarantineKeys),
		checkRange("length of a key", longest, 0, maxKeyBytes),
	)
}
