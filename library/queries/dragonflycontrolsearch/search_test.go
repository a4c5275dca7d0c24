package dragonflycontrolsearch_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/queries/dragonflycontrolsearch"
	. "github.com/smartystreets/goconvey/convey"
)

// play returns the addresses of n calls and the time that they take if none gets a response.
func play(s dragonflycontrolsearch.Search, n int, known, seeds []string) (addrs []string, took dragonflyduration.Duration) {
	for range n {
		var addr string
		var limit dragonflyduration.Duration
		s, addr, limit = s.Next(known, seeds, "")
		addrs, took = append(addrs, addr), took+limit
	}
	return addrs, took
}

// assertAll asserts that each of the addresses is among those of the calls.
func assertAll(calls []string, addrs ...string) {
	for _, addr := range addrs {
		So(calls, ShouldContain, addr)
	}
}

// TestNext guards against an instance that is gone and is waited for twice before others are
// asked at all, and against a leader that is never waited for as long as it needs.
func TestNext(t *testing.T) {
	known, seeds := []string{"a", "b", "c"}, []string{"c", "b", "a"}
	Convey("Each instance is asked once before any is asked again, within a second", t, func() {
		calls, took := play(dragonflycontrolsearch.Search{}, 3, known, seeds)
		assertAll(calls, known...)
		So(took, ShouldBeLessThanOrEqualTo, dragonflyduration.Second)
	})
	Convey("Seeds that are not known are asked as well", t, func() {
		calls, _ := play(dragonflycontrolsearch.Search{}, 4, known, []string{"d"})
		assertAll(calls, "a", "b", "c", "d")
	})
	Convey("After all have been asked, each is waited for longer", t, func() {
		_, first := play(dragonflycontrolsearch.Search{}, 3, known, seeds)
		_, both := play(dragonflycontrolsearch.Search{}, 6, known, seeds)
		So(both, ShouldBeGreaterThan, 2*first)
	})
	Convey("An instance that is named as the leader goes first", t, func() {
		s, addr, limit := dragonflycontrolsearch.Search{}.Next(known, seeds, "l")
		So(addr, ShouldEqual, "l")
		So(limit, ShouldEqual, dragonflycontrolsearch.FirstTimeout)
		So(s.Asked(), ShouldEqual, 0)
	})
	Convey("A search after a leader begins anew", t, func() {
		var s dragonflycontrolsearch.Search
		for range 3 {
			s, _, _ = s.Next(known, seeds, "")
		}
		_, _, limit := s.WithLeader().Next(known, seeds, "")
		So(limit, ShouldEqual, dragonflycontrolsearch.FirstTimeout)
	})
}

// ExampleSearch_Next shows a search of which the first instance does not respond.
func ExampleSearch_Next() {
	var s dragonflycontrolsearch.Search
	for range 2 {
		var addr string
		var limit dragonflyduration.Duration
		s, addr, limit = s.Next([]string{"a", "b"}, []string{"a"}, "")
		fmt.Println(addr, limit.Seconds())
	}
	// Output:
	// b 0.25
	// a 0.25
}
