package dragonflyepochcounter_test

import (
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyepochcounter"
	"dragonflyrelay.example/library/values/dragonflyenginegroup"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// assertNext checks that the next epoch after those of c is n.
func assertNext(c dragonflyepochcounter.EpochCounter, n uint64) {
	So(c.WithNext().Last(), ShouldEqual, n)
}

// TestEpochCounter guards against epochs that engines refuse, because they are not higher than
// an earlier one, or because no report of the engine would be valid with them.
func TestEpochCounter(t *testing.T) {
	first := dragonflyepochcounter.EpochCounter{}.WithTerm(3)
	Convey("Epochs of a term are higher than those of the terms before", t, func() {
		assertNext(first, 3<<20+1)
		assertNext(first.WithNext().WithNext().WithTerm(4), 4<<20+1)
	})
	Convey("The epoch of an engine is followed, a lower one is not", t, func() {
		assertNext(first.WithHeld(1<<40), 1<<40+1)
		assertNext(first.WithHeld(7), 3<<20+1)
	})
	Convey("Epochs that earlier versions gave are followed, those at the end of the range are not", t, func() {
		assertNext(first.WithHeld(1<<52+9), 1<<52+10)
		So(dragonflyepochcounter.CanFollow(dragonflyenginegroup.MaxEpoch), ShouldBeFalse)
		assertNext(first.WithHeld(dragonflyenginegroup.MaxEpoch), 3<<20+1)
	})
	Convey("Refusals reach the highest epoch that earlier versions gave", t, func() {
		c, refusals := first.WithNext(), 0
		for ; c.Last() <= 1<<52+9; refusals++ {
			So(dragonflyepochcounter.CanOvertake(c.Last()), ShouldBeTrue)
			c = c.WithRefused(c.Last()).WithNext()
		}
		So(refusals, ShouldBeLessThan, 40)
	})
	Convey("The same refusal counts once, and refusals end", t, func() {
		c := first.WithRefused(5 << 20)
		So(c.WithRefused(5<<20), ShouldResemble, c)
		for range 100 {
			c = c.WithRefused(c.Last()).WithNext()
		}
		So(dragonflyepochcounter.CanOvertake(c.Last()), ShouldBeFalse)
	})
}

// TestEpochCounterRandom guards against an epoch that a report may name and after which the
// next one is beyond the range of reports.
func TestEpochCounterRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := dragonflyepochcounter.EpochCounter{}.WithTerm(rapid.Uint64Max(1<<20).Draw(t, "term"))
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			before, epoch := c.Last(), rapid.Uint64Max(dragonflyenginegroup.MaxEpoch).Draw(t, "epoch")
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				c = c.WithHeld(epoch)
			case 1:
				c = c.WithRefused(epoch)
			default:
				c = c.WithNext()
			}
			if c.Last() < before || c.WithNext().Last() > dragonflyenginegroup.MaxEpoch {
				t.Fatalf("epoch %d after %d", c.Last(), before)
			}
		}
	})
}
