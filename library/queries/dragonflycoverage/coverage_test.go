package dragonflycoverage_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/queries/dragonflycoverage"
	. "github.com/smartystreets/goconvey/convey"
)

// assertTaken asserts whether a model gets a group of a donor.
func assertTaken(model, donor dragonflycoverage.Coverage, taken bool) {
	So(model.MayTakeFrom(donor), ShouldEqual, taken)
}

// TestMayTakeFrom guards against a model without groups beside one that has all of its own,
// and against a move that leaves the donor as badly off.
func TestMayTakeFrom(t *testing.T) {
	for _, c := range []struct {
		model, donor dragonflycoverage.Coverage
		taken        bool
	}{
		{dragonflycoverage.Coverage{Groups: 0, Target: 3}, dragonflycoverage.Coverage{Groups: 3, Target: 3}, true},
		{dragonflycoverage.Coverage{Groups: 1, Target: 3}, dragonflycoverage.Coverage{Groups: 3, Target: 3}, true},
		{dragonflycoverage.Coverage{Groups: 0, Target: 3}, dragonflycoverage.Coverage{Groups: 2, Target: 3}, true},
		{dragonflycoverage.Coverage{Groups: 1, Target: 3}, dragonflycoverage.Coverage{Groups: 2, Target: 3}, false},
		{dragonflycoverage.Coverage{Groups: 0, Target: 3}, dragonflycoverage.Coverage{Groups: 1, Target: 3}, false},
		{dragonflycoverage.Coverage{Groups: 2, Target: 3}, dragonflycoverage.Coverage{Groups: 3, Target: 3}, false},
		{dragonflycoverage.Coverage{Groups: 1, Target: 2}, dragonflycoverage.Coverage{Groups: 3, Target: 6}, false},
		{dragonflycoverage.Coverage{Groups: 3, Target: 3}, dragonflycoverage.Coverage{Groups: 9, Target: 3}, false},
		{dragonflycoverage.Coverage{Groups: 2, Target: 3}, dragonflycoverage.Coverage{Groups: 3, Target: 3, Replacements: 1}, true},
		{dragonflycoverage.Coverage{Groups: 3, Target: 3}, dragonflycoverage.Coverage{Groups: 3, Target: 3, Replacements: 1}, false},
		{dragonflycoverage.Coverage{Groups: 0, Target: 3}, dragonflycoverage.Coverage{}, false},
		{dragonflycoverage.Coverage{}, dragonflycoverage.Coverage{Groups: 3, Target: 3}, false},
	} {
		Convey(fmt.Sprintf("%+v of %+v", c.model, c.donor), t, func() { assertTaken(c.model, c.donor, c.taken) })
	}
}

// TestMovesEnd guards against groups that move back and forth between two models.
func TestMovesEnd(t *testing.T) {
	Convey("No group moves back after a move", t, func() {
		for n := range 4 * 4 * 8 * 8 {
			a := dragonflycoverage.Coverage{Groups: n % 4, Target: 1 + n/4%4}
			b := dragonflycoverage.Coverage{Groups: n / 16 % 8, Target: 1 + n/128}
			if a.MayTakeFrom(b) {
				a.Groups, b.Groups = a.Groups+1, b.Groups-1
				assertTaken(b, a, false)
			}
		}
	})
}

// ExampleCoverage_MayTakeFrom shows a model that has lost its last group.
func ExampleCoverage_MayTakeFrom() {
	lost := dragonflycoverage.Coverage{Groups: 0, Target: 3}
	whole := dragonflycoverage.Coverage{Groups: 3, Target: 3}
	fmt.Println(lost.MayTakeFrom(whole), whole.MayTakeFrom(lost))
	// Output: true false
}
