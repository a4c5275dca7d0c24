package dragonflyleaving_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyleaving"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyleavingupstream"
	. "github.com/smartystreets/goconvey/convey"
)

const start = dragonflyinstant.Instant(dragonflyduration.Second)

// table returns the lookup of a table with the given starts by id.
func table(boots map[string]int64) func(id string) (int64, bool) {
	return func(id string) (int64, bool) {
		boot, ok := boots[id]
		return boot, ok
	}
}

// assertLeaves checks which starts of the upstream "a" leave.
func assertLeaves(l dragonflyleaving.Leaving, want map[int64]bool) {
	for boot, leaves := range want {
		So(l.Has("a", boot), ShouldEqual, leaves)
	}
}

// TestLeaving guards against a leaving upstream that is used again, and against another
// upstream that is taken for it.
func TestLeaving(t *testing.T) {
	l := dragonflyleaving.Leaving{}.WithAnswer(start, "a", 5)
	Convey("The start that has said so leaves, an earlier one does too, a later one does not", t, func() {
		assertLeaves(l, map[int64]bool{4: true, 5: true, 6: false})
		So(l.Has("b", 5), ShouldBeFalse)
		So(dragonflyleaving.Leaving{}.Has("a", 5), ShouldBeFalse)
	})
	Convey("A late answer of an earlier start changes nothing", t, func() {
		assertLeaves(l.WithAnswer(start, "a", 3), map[int64]bool{5: true, 6: false})
	})
	Convey("An upstream whose row disappears for minutes and returns still leaves", t, func() {
		gone := l.WithTable(start.Add(dragonflyduration.Second), table(nil)).
			WithTable(start.Add(5*dragonflyduration.Minute), table(nil)).
			WithTable(start.Add(6*dragonflyduration.Minute), table(map[string]int64{"a": 5}))
		assertLeaves(gone, map[int64]bool{5: true})
	})
	Convey("One that stays in the table for an hour still leaves", t, func() {
		stays := l
		for i := range 60 {
			stays = stays.WithTable(start.Add(dragonflyduration.Duration(i)*dragonflyduration.Minute), table(map[string]int64{"a": 5}))
		}
		assertLeaves(stays, map[int64]bool{5: true})
	})
	Convey("A later start, and a long absence, end the entry", t, func() {
		So(l.WithTable(start, table(map[string]int64{"a": 6})).After(start, 0), ShouldBeEmpty)
		So(l.WithTable(start.Add(11*dragonflyduration.Minute), table(nil)).After(start, 0), ShouldBeEmpty)
	})
	Convey("Each addition is reported once", t, func() {
		again := l.WithAnswer(start.Add(dragonflyduration.Second), "a", 5)
		So(again.Sequence(), ShouldEqual, 1)
		So(again.After(start.Add(2*dragonflyduration.Second), 0), ShouldResemble, []dragonflyleavingupstream.Upstream{{ID: "a", Boot: 5, Age: 2 * dragonflyduration.Second}})
		So(again.After(start, 1), ShouldBeEmpty)
		So(again.WithAnswer(start, "b", 1).After(start, 1), ShouldHaveLength, 1)
	})
	Convey("Upstreams without end stay within bounds, and the latest are kept", t, func() {
		many := l
		for i := range 5000 {
			many = many.WithAnswer(start.Add(dragonflyduration.Duration(i+1)), fmt.Sprint(i), 1)
		}
		So(many.After(start, 0), ShouldHaveLength, 4096)
		So(many.Has("4999", 1), ShouldBeTrue)
		So(many.Has("a", 5), ShouldBeFalse)
	})
}
