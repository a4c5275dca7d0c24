package dragonflymemberset_test

import (
	"slices"
	"testing"

	"dragonflyrelay.example/library/values/dragonflymemberset"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func assertMajority(s dragonflymemberset.MemberSet, want bool, names ...string) {
	So(s.HasMajority(func(name string) bool { return slices.Contains(names, name) }), ShouldEqual, want)
}

// TestMajority guards against a decision during a change of the members without a majority
// of those before it or of those after it.
func TestMajority(t *testing.T) {
	three := dragonflymemberset.New("c", "a", "b")
	Convey("No members", t, func() { assertMajority(dragonflymemberset.MemberSet{}, false) })
	Convey("Two of three", t, func() {
		assertMajority(three, true, "a", "c")
		assertMajority(three, false, "a", "x")
	})
	Convey("Two of four", t, func() { assertMajority(dragonflymemberset.New("a", "b", "c", "d"), false, "a", "b") })
	Convey("A replacement in progress", t, func() {
		s := three.WithReplacement("c", "d")
		So(s.Names(), ShouldResemble, []string{"a", "b", "d"})
		So(s.Outgoing(), ShouldResemble, []string{"a", "b", "c"})
		assertMajority(s, true, "a", "b")
		assertMajority(s, true, "a", "c", "d")
		assertMajority(s, false, "a", "c")
		assertMajority(s, false, "a", "d")
	})
	Convey("A completed replacement", t, func() {
		s := three.WithReplacement("c", "d").WithChangeCompleted()
		So(s.Equal(dragonflymemberset.New("a", "b", "d")), ShouldBeTrue)
		assertMajority(s, true, "a", "d")
	})
	Convey("Additions in progress", t, func() {
		s := three.WithAdded("e", "d")
		So(s.All(), ShouldResemble, []string{"a", "b", "c", "d", "e"})
		assertMajority(s, false, "a", "d", "e")
		assertMajority(s, true, "a", "b", "e")
	})
}

// TestMajoritiesOverlap guards against two decisions without a member in common, before,
// during and after a change.
func TestMajoritiesOverlap(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f"}
	rapid.Check(t, func(t *rapid.T) {
		before := dragonflymemberset.New(rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, 5, rapid.ID).Draw(t, "before")...)
		after := dragonflymemberset.New(rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, 5, rapid.ID).Draw(t, "after")...)
		during := after.WithOutgoing(before.Names()...)
		left := rapid.SliceOfDistinct(rapid.SampledFrom(names), rapid.ID).Draw(t, "left")
		right := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return slices.Contains(left, n) })
		decides := func(s dragonflymemberset.MemberSet, by []string) bool {
			return s.HasMajority(func(n string) bool { return slices.Contains(by, n) })
		}
		for _, s := range []dragonflymemberset.MemberSet{before, during, after} {
			if decides(during, left) && decides(s, right) {
				t.Fatalf("%v and %v both decide: %v beside %v", left, right, during, s)
			}
		}
	})
}
