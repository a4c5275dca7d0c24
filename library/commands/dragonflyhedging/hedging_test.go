package dragonflyhedging_test

import (
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyhedging"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflybalanceevent"
	"dragonflyrelay.example/library/values/dragonflychoice"
	. "github.com/smartystreets/goconvey/convey"
)

// withTimes returns h after answers of the service s that took the given times in ms.
func withTimes(h dragonflyhedging.Hedging, now dragonflyinstant.Instant, times ...int) dragonflyhedging.Hedging {
	for _, ms := range times {
		ev := dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Ended, Service: "s", Waited: dragonflyduration.Duration(ms) * millisecond}
		h = h.Step(now, ev, dragonflychoice.Choice{})
	}
	return h
}

// withRequests returns h after n first sendings to the service s.
func withRequests(h dragonflyhedging.Hedging, n int) dragonflyhedging.Hedging {
	for range n {
		h = h.Step(start, dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Choose, Service: "s"}, dragonflychoice.Choice{OK: true})
	}
	return h
}

// secondChoice is a choice of a second upstream after a wait of the given time in ms.
func secondChoice(waited int) dragonflybalanceevent.Event {
	return dragonflybalanceevent.Event{
		Kind: dragonflybalanceevent.Choose, Service: "s", Hedge: true, Retry: true, Move: true,
		Waited: dragonflyduration.Duration(waited) * millisecond, Objective: 300 * millisecond,
	}
}

// TestDelay guards against a second copy of a request that is not late, or that nobody can
// answer in time.
func TestDelay(t *testing.T) {
	assertDelay := func(h dragonflyhedging.Hedging, now dragonflyinstant.Instant, delay int, ok bool) {
		d, got := h.Delay(now, "s", "", 300*millisecond)
		So(got, ShouldEqual, ok)
		if ok {
			So(d, ShouldEqual, dragonflyduration.Duration(delay)*millisecond)
		}
	}
	h := dragonflyhedging.New(0.1)
	Convey("The first upstream has half of the objective", t, func() {
		assertDelay(withTimes(h, start, 10, 10, 10, 10, 10, 10, 10, 10), start, 150, true)
	})
	Convey("A request is late beyond most of the recent times", t, func() {
		assertDelay(withTimes(h, start, 20, 20, 20, 20, 160, 160, 160, 600), start, 160, true)
	})
	Convey("None is sent twice if the second upstream would be late too", t, func() {
		assertDelay(withTimes(h, start, 200, 200, 200, 200, 200, 200, 200, 200), start, 0, false)
	})
	Convey("None is sent twice while few recent times are known", t, func() {
		assertDelay(h, start, 0, false)
		assertDelay(withTimes(h, start, 10, 10, 10, 10, 10, 10, 10), start, 0, false)
		old := withTimes(h, start, 10, 10, 10, 10, 10, 10, 10, 10)
		assertDelay(old, start.Add(31*second), 0, false)
		_, ok := old.Delay(start, "s", "other", 300*millisecond)
		So(ok, ShouldBeFalse)
	})
	Convey("None is sent twice without a share or an objective", t, func() {
		assertDelay(withTimes(dragonflyhedging.Hedging{}, start, 10, 10, 10, 10, 10, 10, 10, 10), start, 0, false)
		_, ok := withTimes(h, start, 10, 10, 10, 10, 10, 10, 10, 10).Delay(start, "s", "", 0)
		So(ok, ShouldBeFalse)
	})
}

// TestRefusal guards against more second sendings than the share, and against any that the
// present times no longer justify.
func TestRefusal(t *testing.T) {
	known := withTimes(dragonflyhedging.New(0.1), start, 10, 10, 10, 10, 10, 10, 10, 10)
	assertRefused := func(h dragonflyhedging.Hedging, ev dragonflybalanceevent.Event, refused bool) {
		So(h.Refusal(start, ev) != "", ShouldEqual, refused)
	}
	sent := func(h dragonflyhedging.Hedging) dragonflyhedging.Hedging {
		return h.Step(start, secondChoice(150), dragonflychoice.Choice{OK: true})
	}
	Convey("The share of the requests, with a small burst", t, func() {
		So(known.Refusal(start, secondChoice(150)), ShouldEqual, dragonflyhedging.ReasonBudget)
		assertRefused(withRequests(known, 9), secondChoice(150), true)
		h := withRequests(known, 11)
		assertRefused(h, secondChoice(150), false)
		assertRefused(sent(h), secondChoice(150), true)
		h = sent(sent(withRequests(known, 1000)))
		assertRefused(h, secondChoice(150), true)
	})
	Convey("Retries and refused requests add nothing to it", t, func() {
		h := known
		for range 100 {
			h = h.Step(start, dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Choose, Service: "s", Retry: true}, dragonflychoice.Choice{OK: true})
			h = h.Step(start, dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Choose, Service: "s"}, dragonflychoice.Choice{})
		}
		assertRefused(h, secondChoice(150), true)
	})
	Convey("A second choice that finds no upstream uses nothing of it", t, func() {
		h := withRequests(known, 11).Step(start, secondChoice(150), dragonflychoice.Choice{})
		assertRefused(h, secondChoice(150), false)
	})
	Convey("A request that is not late, and one while all upstreams are slow", t, func() {
		h := withRequests(known, 11)
		assertRefused(h, secondChoice(149), true)
		assertRefused(withTimes(h, start, 400, 400, 400, 400, 400, 400, 400, 400, 400, 400, 400, 400), secondChoice(500), true)
	})
	Convey("Other choices are not refused", t, func() {
		assertRefused(known, dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Choose, Service: "s", Retry: true, Move: true}, false)
		assertRefused(dragonflyhedging.Hedging{}, secondChoice(150), true)
	})
}
