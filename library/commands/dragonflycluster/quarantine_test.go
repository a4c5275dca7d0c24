package dragonflycluster_test

import (
	"testing"

	"dragonflyrelay.example/library/commands/dragonflycluster"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyloss"
	"dragonflyrelay.example/library/values/dragonflypromptpart"
	"dragonflyrelay.example/library/values/dragonflyquarantinedpart"
	"dragonflyrelay.example/library/values/dragonflyquarantinerecord"
	"dragonflyrelay.example/library/values/dragonflyresult"
	. "github.com/smartystreets/goconvey/convey"
)

// record returns a change that records a quarantine of the given keys.
func record(id string, term, version uint64, keys ...string) dragonflychange.Change {
	r := dragonflyquarantinerecord.Record{Term: term, Version: version}
	for _, key := range keys {
		r.Parts = append(r.Parts, dragonflyquarantinedpart.Part{ID: key})
		r.Losses = append(r.Losses, dragonflyloss.Loss{ID: "i-" + key, Boot: 1, Parts: []dragonflypromptpart.Part{{ID: key}}})
	}
	return dragonflychange.Change{ID: id, Kind: dragonflychange.RecordQuarantine, Quarantine: r}
}

func assertRecorded(c dragonflycluster.Cluster, keys ...string) {
	var got []string
	for _, p := range c.Quarantine().Parts {
		got = append(got, p.ID)
	}
	So(got, ShouldResemble, keys)
	So(c.Quarantine().Losses, ShouldHaveLength, len(keys))
}

// TestQuarantineRecords guards against a record of an earlier leader that replaces a later one, and
// against a release by an operator that a record undoes.
func TestQuarantineRecords(t *testing.T) {
	apply := func(c dragonflycluster.Cluster, ch dragonflychange.Change) dragonflycluster.Cluster {
		next, r := c.Apply(ch)
		So(r.Outcome, ShouldEqual, dragonflyresult.Accepted)
		return next
	}
	Convey("The latest record holds, also after a snapshot", t, func() {
		c := apply(dragonflycluster.Cluster{}, record("r1", 2, 1, "a", "b"))
		c = apply(c, record("r2", 1, 9, "old"))
		assertRecorded(c, "a", "b")
		c = apply(c, record("r3", 3, 1, "c"))
		assertRecorded(dragonflycluster.FromState(c.State()), "c")
	})
	Convey("A released key is in no record that was made before the release", t, func() {
		before := apply(dragonflycluster.Cluster{}, record("r1", 2, 1, "a", "b"))
		c := apply(before, dragonflychange.Change{ID: "x", Kind: dragonflychange.ReleaseKey, Key: "a"})
		c = apply(c, record("r2", 2, 2, "a", "b", "c"))
		assertRecorded(c, "b")
		So(c.Quarantine().ReleasedSince(before.Quarantine()), ShouldResemble, []string{"a"})
		later := apply(c, record("r3", 2, 3, "b", "c"))
		assertRecorded(later, "b", "c")
		So(later.Quarantine().ReleasedSince(c.Quarantine()), ShouldBeEmpty)
		So(later.Quarantine().ReleasedSince(before.Quarantine()), ShouldResemble, []string{"a"})
	})
	Convey("A key that is not quarantined cannot be released, and records are bounded", t, func() {
		_, r := dragonflycluster.Cluster{}.Apply(dragonflychange.Change{ID: "x", Kind: dragonflychange.ReleaseKey, Key: "a"})
		So(r.Outcome, ShouldEqual, dragonflyresult.Invalid)
		_, r = dragonflycluster.Cluster{}.Apply(record("r1", 1, 1, make([]string, 10_000)...))
		So(r.Outcome, ShouldEqual, dragonflyresult.Invalid)
	})
}
