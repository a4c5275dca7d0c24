package dragonflybalance_test

import (
	"testing"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflybalanceevent"
	. "github.com/smartystreets/goconvey/convey"
)

// coldEntries is the number of entries that learn of a cold endpoint at once.
const coldEntries = 52

// assertColdBound plays many entries, each of which always has another request to send,
// for the given time after prepare. It checks that together they send no more in any
// second than the endpoint bears: half as much again as its rate, and 5 requests.
func assertColdBound(length dragonflyduration.Duration, prepare func(s *simulation)) {
	const rate = 10
	var all []*simulation
	for i := range coldEntries {
		s := newSimulation(plain("a"))
		s.balance = s.balance.WithSeed(uint64(i))
		s.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.DocumentReceived, Document: testDocument(), Entries: coldEntries, Complete: true})
		prepare(s)
		all = append(all, s)
	}
	var sent []int // by 10 ms
	total := 0
	for range int(length / (10 * millisecond)) {
		n := 0
		for _, s := range all {
			if s.choose("plain").OK {
				n++
			}
			s.now = s.now.Add(10 * millisecond)
		}
		sent, total = append(sent, n), total+n
	}
	for i := range sent[100:] {
		inSecond := 0
		for _, n := range sent[i : i+100] {
			inSecond += n
		}
		So(inSecond, ShouldBeLessThanOrEqualTo, rate*3/2+5)
	}
	So(total, ShouldBeGreaterThan, rate) // It gets some work while it is cold.
}

// TestCold guards against a cold endpoint that many entries, each within its own limit,
// overload together.
func TestCold(t *testing.T) {
	Convey("Many entries together send a cold endpoint no more than its rate allows, also after a change of leader", t, func() {
		assertColdBound(3*second, func(s *simulation) {
			s.choose("plain")
			// A leader that was elected just now knows three of them.
			s.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.DocumentReceived, Document: testDocument(), Entries: 3})
			s.now = s.now.Add(10 * second)
			cold := plain("a")
			cold.ColdLeft = 3 * second
			s.table(true, cold)
		})
	})
	Convey("Many entries together do not catch up at a cold endpoint whose zone was out", t, func() {
		assertColdBound(2*second, func(s *simulation) {
			document := dragonflybalanceevent.Event{Kind: dragonflybalanceevent.DocumentReceived, Document: testDocument(), Entries: coldEntries, Complete: true}
			document.OutZones = []string{"zone-a"}
			s.step(document)
			cold := plain("a")
			cold.ColdLeft = 20 * second
			s.table(true, cold)
			s.now = s.now.Add(10 * second)
			document.OutZones = nil
			s.step(document)
		})
	})
	Convey("Many entries together count an endpoint as cold whose zone returns, until it has reported", t, func() {
		assertColdBound(2*second, func(s *simulation) {
			document := dragonflybalanceevent.Event{Kind: dragonflybalanceevent.DocumentReceived, Document: testDocument(), Entries: coldEntries, Complete: true}
			document.OutZones = []string{"zone-a"}
			s.step(document)
			s.now = s.now.Add(10 * second)
			document.OutZones = nil
			s.step(document)
			s.table(true, plain("a"))
		})
	})
}
