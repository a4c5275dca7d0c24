package dragonflydemandmeter_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/commands/dragonflydemandmeter"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflydemandevent"
	. "github.com/smartystreets/goconvey/convey"
)

const second = dragonflyduration.Second

// measure plays rate requests a second of 700 tokens for d, of which each refuseEach-th is
// refused, 0 for none.
func measure(m dragonflydemandmeter.Meter, now dragonflyinstant.Instant, d dragonflyduration.Duration, rate, refuseEach int) (dragonflydemandmeter.Meter, dragonflyinstant.Instant) {
	for i := range int(d.Seconds() * float64(rate)) {
		now = now.Add(second / dragonflyduration.Duration(rate))
		ev := dragonflydemandevent.Event{Kind: dragonflydemandevent.Arrived, Service: "llm", Model: "small", Tokens: 700}
		m, _ = m.Step(now, ev)
		if refuseEach > 0 && i%refuseEach == 0 {
			ev.Kind = dragonflydemandevent.Refused
		} else {
			ev.Kind, ev.Delay = dragonflydemandevent.Began, 0.4
		}
		m, _ = m.Step(now, ev)
	}
	return m, now
}

// TestMeter guards against reported work that differs from the work that arrives.
func TestMeter(t *testing.T) {
	Convey("The work is the prompt tokens a second, with the decoding of each request", t, func() {
		m, now := measure(dragonflydemandmeter.Meter{}, 1, 5*second, 100, 4)
		all := m.Demands(now)
		So(all, ShouldHaveLength, 1)
		So(all[0].Work, ShouldAlmostEqual, 100_000, 3000)
		So(all[0].Refused, ShouldAlmostEqual, 25_000, 2500)
		So(all[0].Delay, ShouldAlmostEqual, 0.4, 0.001)
	})
	Convey("Work that has ended is gone after four seconds", t, func() {
		m, now := measure(dragonflydemandmeter.Meter{}, 1, 5*second, 100, 4)
		So(m.Demands(now.Add(8*second)), ShouldBeEmpty)
	})
	Convey("Refusals of a burst count for no more than two seconds after it", t, func() {
		m, now := measure(dragonflydemandmeter.Meter{}, 1, 3*second, 200, 2)
		m, now = measure(m, now, 2*second, 100, 0)
		So(m.Demands(now)[0].Refused/m.Demands(now)[0].Work, ShouldBeLessThan, 0.05)
	})
	Convey("Ranks are measured apart, and their number is bounded", t, func() {
		m := dragonflydemandmeter.Meter{}
		for rank := range 1000 {
			m, _ = m.Step(1, dragonflydemandevent.Event{Kind: dragonflydemandevent.Arrived, Service: "llm", Model: "small", Rank: rank, Tokens: 700})
		}
		So(len(m.Demands(1)), ShouldEqual, 64)
		later := dragonflyinstant.Instant(1).Add(30 * second)
		m, _ = m.Step(later, dragonflydemandevent.Event{Kind: dragonflydemandevent.Arrived, Service: "llm", Model: "large", Rank: 2, Tokens: 700})
		So(m.Demands(later), ShouldHaveLength, 1)
	})
}

// A request of 700 prompt tokens counts as 1,000 tokens, here averaged over half a second.
func ExampleMeter() {
	ev := dragonflydemandevent.Event{Kind: dragonflydemandevent.Arrived, Service: "llm", Model: "small", Rank: 1, Tokens: 700}
	m, _ := dragonflydemandmeter.Meter{}.Step(1, ev)
	fmt.Printf("%+v\n", m.Demands(1))
	// Output:
	// [{Service:llm Model:small Rank:1 Work:2000 Refused:0 Delay:0}]
}
