package dragonflybalance_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflybalanceevent"
	. "github.com/smartystreets/goconvey/convey"
)

// countEntries gives the entries the number of those that follow control.
func countEntries(all []*simulation, number int) {
	for _, s := range all {
		s.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.DocumentReceived, Document: testDocument(), Entries: number, Complete: true})
	}
}

// TestEntriesCutOff guards against entries that take over the part of others which control
// has not heard of for a while: those may be cut off from control only, and go on.
func TestEntriesCutOff(t *testing.T) {
	always := func(int) bool { return true }
	for _, inTouch := range []int{39, 26, 13, 4, 1} {
		Convey(fmt.Sprintf("With %d of 52 entries in touch with control, all together keep to a limit", inTouch), t, func() {
			all := newLimitedEntries(52, 100)
			countEntries(all[:inTouch], inTouch)
			assertLimitBound(playLimited(all, 20*second, always), 100, 0.7)
		})
	}
	Convey("The part of entries that are gone for a minute is used by the others", t, func() {
		all := newLimitedEntries(8, 100)[:2]
		countEntries(all, 2)
		for _, s := range all {
			s.now = s.now.Add(dragonflyduration.Minute)
		}
		countEntries(all, 2)
		assertLimitBound(playLimited(all, 20*second, always), 100, 0.7)
	})
	Convey("The part of a third of the entries that are gone is used at once", t, func() {
		all := newLimitedEntries(6, 100)
		countEntries(all[:4], 4)
		assertLimitBound(playLimited(all[:4], 20*second, always), 100, 0.8)
	})
}
