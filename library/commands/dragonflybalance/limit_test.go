package dragonflybalance_test

import (
	"testing"

	"dragonflyrelay.example/library/commands/dragonflybalance"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflybalanceevent"
	"dragonflyrelay.example/library/values/dragonflyendpointlimit"
	. "github.com/smartystreets/goconvey/convey"
)

// limitStep is the time between two requests that each entry would send.
const limitStep = 20 * millisecond

func limitOf(id string, rate float64) dragonflyendpointlimit.Limit {
	return dragonflyendpointlimit.Limit{ID: id, Boot: 1, Limited: rate > 0, Rate: rate}
}

func (s *simulation) answerLimit(l dragonflyendpointlimit.Limit) {
	s.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.LimitAnswered, Limits: []dragonflyendpointlimit.Limit{l}})
}

func (s *simulation) receiveLimits(limits ...dragonflyendpointlimit.Limit) {
	s.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.LimitsReceived, Limits: limits, AskedAt: s.now})
}

// newLimitedEntries returns entries that know the only endpoint "a" and its limit.
func newLimitedEntries(entries int, rate float64) (all []*simulation) {
	for i := range entries {
		a := plain("a")
		s := newSimulation(a)
		s.balance = s.balance.WithSeed(uint64(i))
		s.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.DocumentReceived, Document: testDocument(), Entries: entries, Complete: true})
		s.receiveLimits(limitOf("a", rate))
		all = append(all, s)
	}
	return all
}

// playLimited lets each entry send whenever it may, if wants(step) reports that it has a
// request, and returns the number of requests by step.
func playLimited(all []*simulation, length dragonflyduration.Duration, wants func(step int) bool) (sent []int) {
	for step := range int(length / limitStep) {
		n := 0
		for _, s := range all {
			if wants(step) && s.choose("plain").OK {
				n++
			}
			s.now = s.now.Add(limitStep)
		}
		sent = append(sent, n)
	}
	return sent
}

// assertLimitBound checks that no 4 s have more requests than half as many again as the
// limit, and 5, and that the limit is used by the given share.
func assertLimitBound(sent []int, rate, used float64) {
	window := int(4 * second / limitStep)
	total := 0
	for i := range sent {
		inWindow := 0
		for _, n := range sent[i:min(i+window, len(sent))] {
			inWindow += n
		}
		So(float64(inWindow), ShouldBeLessThanOrEqualTo, 6*rate+5)
		total += sent[i]
	}
	So(float64(total), ShouldBeGreaterThanOrEqualTo, used*rate*float64(len(sent))*limitStep.Seconds())
}

// TestLimits guards against an endpoint that gets more requests than the limit that it
// names, though each entry keeps to its part.
func TestLimits(t *testing.T) {
	always := func(int) bool { return true }
	for _, entries := range []int{1, 4, 15, 52} {
		for _, rate := range []float64{0.5, 6.8, 40} {
			Convey("Many entries together keep to a limit and use it", t, func() {
				assertLimitBound(playLimited(newLimitedEntries(entries, rate), 20*second, always), rate, 0.7)
			})
			Convey("Many entries that had nothing to send for a while do not catch up", t, func() {
				burst := func(step int) bool { return step%500 > 400 }
				assertLimitBound(playLimited(newLimitedEntries(entries, rate), 40*second, burst), rate, 0)
			})
		}
	}
	Convey("Requests that find all endpoints at their limits wait, other endpoints serve", t, func() {
		a, b := plain("a"), plain("b")
		a.Boot, b.Boot = 1, 1
		s := newSimulation(a)
		s.answerLimit(limitOf("a", 1))
		s.now = s.now.Add(2 * second)
		So(s.choose("plain").OK, ShouldBeTrue)
		c := s.choose("plain")
		So(c.OK, ShouldBeFalse)
		So(c.Full, ShouldBeTrue)
		s.table(true, a, b)
		So(s.choose("plain").Endpoint.ID, ShouldEqual, "b")
	})
	Convey("The latest answer counts, whichever entry has seen it", t, func() {
		s := newSimulation()
		s.answerLimit(limitOf("a", 4))
		late := limitOf("a", 0)
		late.Age = second
		s.receiveLimits(late)
		So(s.balance.Limited("a", 1), ShouldBeTrue)
		s.now = s.now.Add(second)
		s.receiveLimits(limitOf("a", 0))
		So(s.balance.Limited("a", 1), ShouldBeFalse)
	})
	Convey("Another start of an endpoint has no limit, and late answers of the earlier one change nothing", t, func() {
		a := plain("a")
		a.Boot = 2
		s := newSimulation(a)
		s.answerLimit(limitOf("a", 0.5))
		So(s.choose("plain").OK, ShouldBeTrue)
		So(s.choose("plain").OK, ShouldBeTrue)
		s.table(true, a)
		So(s.balance.Limits(s.now, 0, true), ShouldBeEmpty)
	})
	Convey("A limit of zero leaves a request now and then, so that its end is noticed", t, func() {
		s := newLimitedEntries(1, 1)
		s[0].answerLimit(dragonflyendpointlimit.Limit{ID: "a", Boot: 1, Limited: true})
		sent := playLimited(s, 60*second, always)
		assertLimitBound(sent, 0, 0)
		total := 0
		for _, n := range sent {
			total += n
		}
		So(total, ShouldBeBetween, 5, 15)
	})
	Convey("Limits are reported once, and all of them to a new leader", t, func() {
		s := newSimulation()
		s.answerLimit(limitOf("a", 4))
		s.answerLimit(limitOf("a", 4))
		s.receiveLimits(limitOf("b", 2))
		So(s.balance.LimitSequence(), ShouldEqual, 1)
		s.answerLimit(limitOf("a", 4.1))
		So(s.balance.LimitSequence(), ShouldEqual, 1)
		s.answerLimit(limitOf("a", 4.3))
		So(s.balance.LimitSequence(), ShouldEqual, 2)
		s.answerLimit(limitOf("a", 4.3))
		So(s.balance.Limits(s.now, 0, false), ShouldHaveLength, 1)
		So(s.balance.Limits(s.now, 2, false), ShouldBeEmpty)
		So(s.balance.Limits(s.now, 2, true), ShouldHaveLength, 2)
	})
	Convey("Limits of endpoints without end stay within bounds", t, func() {
		b := dragonflybalance.Balance{}
		s := &simulation{balance: b}
		for i := range 6000 {
			s.answerLimit(limitOf(string(rune('a'+i%26))+string(rune('0'+i)), 1))
		}
		So(len(s.balance.Limits(s.now, 0, true)), ShouldBeLessThanOrEqualTo, 4096)
	})
}
