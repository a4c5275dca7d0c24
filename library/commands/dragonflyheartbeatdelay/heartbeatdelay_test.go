package dragonflyheartbeatdelay_test

import (
	"math"
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyheartbeatdelay"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	. "github.com/smartystreets/goconvey/convey"
)

const (
	ms       = dragonflyduration.Millisecond
	interval = 1200 * ms
)

// arrived is a heartbeat that arrives the given time after the first one.
type arrived struct {
	sequence uint64
	after    dragonflyduration.Duration
}

func delayOf(all ...arrived) (h dragonflyheartbeatdelay.HeartbeatDelay) {
	for _, a := range all {
		h = h.WithArrival(dragonflyinstant.Instant(1).Add(a.after), a.sequence)
	}
	return h
}

func assertDelay(want dragonflyduration.Duration, all ...arrived) {
	So(delayOf(all...).Delay(interval), ShouldEqual, want)
}

// TestDelay guards against a delayed heartbeat that counts as fresh because it follows the one
// before after a usual time, and against a regular one that counts as delayed.
func TestDelay(t *testing.T) {
	Convey("Nothing is known before the second heartbeat", t, func() {
		assertDelay(0)
		assertDelay(0, arrived{7, 0})
	})
	Convey("Regular heartbeats have no delay", t, func() {
		assertDelay(0, arrived{1, 0}, arrived{2, 1200 * ms}, arrived{3, 2400 * ms})
	})
	Convey("A delay that grows adds up", t, func() {
		assertDelay(900*ms, arrived{1, 0}, arrived{2, 1500 * ms}, arrived{3, 3000 * ms}, arrived{4, 4500 * ms})
	})
	Convey("A delay that ends is forgotten at once", t, func() {
		assertDelay(0, arrived{1, 0}, arrived{2, 1700 * ms}, arrived{3, 2400 * ms})
	})
	Convey("A lost heartbeat is no delay", t, func() {
		assertDelay(0, arrived{1, 0}, arrived{4, 3600 * ms})
		assertDelay(400*ms, arrived{1, 0}, arrived{4, 4000 * ms})
	})
	Convey("Heartbeats that arrive together after a gap are late by their numbers", t, func() {
		assertDelay(1800*ms, arrived{1, 0}, arrived{2, 3000 * ms})
		assertDelay(600*ms, arrived{1, 0}, arrived{2, 3000 * ms}, arrived{3, 3000 * ms})
	})
	Convey("A heartbeat ahead of its time makes the following ones no later", t, func() {
		assertDelay(0, arrived{1, 0}, arrived{2, 200 * ms}, arrived{3, 1400 * ms})
	})
	Convey("An upstream that has paused counts as delayed for a few heartbeats only", t, func() {
		paused := []arrived{{1, 0}, {2, 5000 * ms}}
		for i := range 5 {
			assertDelay(3800*ms, paused...)
			paused = append(paused, arrived{uint64(3 + i), 5000*ms + dragonflyduration.Duration(i+1)*interval})
		}
		assertDelay(0, paused...)
	})
	Convey("A repeated or older number changes nothing", t, func() {
		assertDelay(0, arrived{1, 0}, arrived{2, 1200 * ms}, arrived{2, 9000 * ms}, arrived{1, 9000 * ms})
	})
	Convey("Without an interval nothing counts as delayed", t, func() {
		So(delayOf(arrived{1, 0}, arrived{2, 9000 * ms}).Delay(0), ShouldEqual, 0)
	})
	Convey("Any numbers are borne", t, func() {
		assertDelay(0, arrived{1, 0}, arrived{math.MaxUint64, 9000 * ms})
	})
	Convey("The earlier value is not changed", t, func() {
		h := delayOf(arrived{1, 0}, arrived{2, 1200 * ms})
		_ = h.WithArrival(dragonflyinstant.Instant(1).Add(9000*ms), 3)
		So(h.Delay(interval), ShouldEqual, 0)
	})
}
