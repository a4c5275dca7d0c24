package dragonflybalance_test

import (
	"testing"

	"dragonflyrelay.example/library/commands/dragonflybalance"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflybalanceevent"
	"dragonflyrelay.example/library/values/dragonflychoice"
	"dragonflyrelay.example/library/values/dragonflydocument"
	"dragonflyrelay.example/library/values/dragonflydocumentservice"
	"dragonflyrelay.example/library/values/dragonflyendpoint"
	"dragonflyrelay.example/library/values/dragonflyendpointspeed"
	"dragonflyrelay.example/library/values/dragonflyengineprofile"
	"dragonflyrelay.example/library/values/dragonflymodelprofile"
	"dragonflyrelay.example/library/values/dragonflyretrylimits"
	. "github.com/smartystreets/goconvey/convey"
)

const (
	millisecond = dragonflyduration.Millisecond
	second      = dragonflyduration.Second
)

type simulation struct {
	now     dragonflyinstant.Instant
	balance dragonflybalance.Balance
}

func testDocument() dragonflydocument.Document {
	model := dragonflymodelprofile.ModelProfile{Name: "large", Size: 4, Pace: 1}
	return dragonflydocument.Document{}.
		WithService(dragonflydocumentservice.Service{Name: "plain", ColdRate: 10}).
		WithService(dragonflydocumentservice.Service{Name: "llm", Engine: dragonflyengineprofile.EngineProfile{
			Slots: 48, Models: []dragonflymodelprofile.ModelProfile{model}, PrefillRate: 50_000,
			StepTime: 6 * millisecond, StepsPerPass: 6,
		}})
}

func newSimulation(rows ...dragonflyendpoint.Endpoint) *simulation {
	s := &simulation{now: dragonflyinstant.Instant(second)}
	s.balance = dragonflybalance.New(dragonflyretrylimits.Limits{Ratio: 0.2, Extra: 20, Window: 10 * second})
	s.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.DocumentReceived, Document: testDocument(), Entries: 1, Complete: true})
	s.table(true, rows...)
	return s
}

func (s *simulation) step(ev dragonflybalanceevent.Event) (c dragonflychoice.Choice) {
	s.balance, c = s.balance.Step(s.now, ev)
	return c
}

func (s *simulation) table(complete bool, rows ...dragonflyendpoint.Endpoint) {
	s.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.TableReceived, Endpoints: rows, Complete: complete})
}

func (s *simulation) choose(service string, exclude ...string) dragonflychoice.Choice {
	ev := dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Choose, Service: service, Exclude: exclude}
	if service == "llm" {
		ev.Model, ev.Tokens, ev.Limit = "large", 1000, 150*millisecond
	}
	return s.step(ev)
}

func (s *simulation) retry() dragonflychoice.Choice {
	return s.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Choose, Service: "plain", Retry: true})
}

func (s *simulation) end(id string, lost bool) {
	ev := dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Ended, ID: id, Outcome: dragonflybalanceevent.Served}
	if lost {
		ev.Outcome = dragonflybalanceevent.Lost
	}
	s.step(ev)
}

func plain(id string) dragonflyendpoint.Endpoint {
	return dragonflyendpoint.Endpoint{ID: id, Boot: 1, Address: id, Service: "plain", Zone: "zone-" + id, Slots: 6}
}

func head(id string) dragonflyendpoint.Endpoint {
	return dragonflyendpoint.Endpoint{ID: id, Boot: 1, Address: id, Service: "llm", Model: "large", Group: "g-" + id, Epoch: 1, Slots: 48}
}

func assertChosen(c dragonflychoice.Choice, id string) {
	So(c.OK, ShouldBeTrue)
	So(c.Endpoint.ID, ShouldEqual, id)
}

func assertRefused(c dragonflychoice.Choice) {
	So(c.OK, ShouldBeFalse)
	So(c.Reason, ShouldNotBeEmpty)
}

func TestChoose(t *testing.T) {
	Convey("The endpoint with fewer requests in progress is chosen", t, func() {
		s := newSimulation(plain("a"), plain("b"))
		first := s.choose("plain").Endpoint.ID
		So(s.choose("plain").Endpoint.ID, ShouldNotEqual, first)
	})
	Convey("An endpoint that failed is avoided as long as there is another", t, func() {
		s := newSimulation(plain("a"), plain("b"))
		s.choose("plain", "b")
		s.end("a", true)
		assertChosen(s.choose("plain"), "b")
		assertChosen(s.choose("plain"), "b")
		assertChosen(s.choose("plain", "b"), "a")
	})
	Convey("Endpoints that were tried, are leaving or are in a zone taken out get no request", t, func() {
		leaving := plain("b")
		leaving.Leaving = true
		s := newSimulation(plain("a"), leaving, plain("c"))
		s.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.DocumentReceived, OutZones: []string{"zone-c"}, Entries: 1})
		assertRefused(s.choose("plain", "a"))
	})
	Convey("A request for a model without a group is refused", t, func() {
		s := newSimulation(plain("a"))
		assertRefused(s.choose("llm"))
	})
}

// TestSpread guards against a thundering herd: entries that all measure the same speeds
// with a delay must not all choose the same group.
func TestSpread(t *testing.T) {
	groups := func() *simulation { return newSimulation(head("a"), head("b"), head("c"), head("d")) }
	measure := func(s *simulation, a dragonflyduration.Duration) {
		s.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Measured, Speeds: []dragonflyendpointspeed.Speed{
			{ID: "a", Pass: a}, {ID: "b", Pass: 80 * millisecond}, {ID: "c", Pass: 80 * millisecond}, {ID: "d", Pass: 80 * millisecond},
		}})
	}
	send := func(s *simulation, n int) (counts map[string]int) {
		counts = map[string]int{}
		for range n {
			s.now = s.now.Add(50 * millisecond)
			id := s.choose("llm").Endpoint.ID
			counts[id]++
			s.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Began, ID: id, Tokens: 1000})
			s.end(id, false)
		}
		return counts
	}
	Convey("A group that is measured as slightly faster does not get all requests", t, func() {
		s := groups()
		measure(s, 60*millisecond)
		for _, n := range send(s, 40) {
			So(n, ShouldBeBetween, 6, 16)
		}
	})
	Convey("A slow group gets fewer requests", t, func() {
		s := groups()
		measure(s, 140*millisecond)
		counts := send(s, 40)
		So(counts["a"], ShouldBeBetween, 2, 9)
	})
	Convey("A group that has just been formed gets no more than its share", t, func() {
		s := newSimulation(head("a"), head("b"), head("c"))
		send(s, 40)
		s.table(true, head("a"), head("b"), head("c"), head("d"))
		So(send(s, 8)["d"], ShouldBeBetween, 0, 4)
	})
}

// TestShedding guards against an overload that makes all requests late, instead of a
// fraction of them being refused.
func TestShedding(t *testing.T) {
	// answer simulates 20 s with 100 requests a second whose first events come after
	// the given time, and returns how many requests are refused.
	answer := func(s *simulation, after dragonflyduration.Duration) (refused int) {
		for range 2000 {
			s.now = s.now.Add(10 * millisecond)
			c := s.choose("llm")
			if !c.OK {
				So(c.Overload, ShouldBeTrue)
				refused++
				continue
			}
			s.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Began, ID: c.Endpoint.ID, Tokens: 1000, Limit: 200 * millisecond, Waited: after})
			s.end(c.Endpoint.ID, false)
		}
		return refused
	}
	Convey("Nothing is refused while first events are on time", t, func() {
		So(answer(newSimulation(head("a"), head("b")), 100*millisecond), ShouldEqual, 0)
	})
	Convey("A fraction of the requests is refused while first events are late, and none afterwards", t, func() {
		s := newSimulation(head("a"), head("b"))
		So(answer(s, 300*millisecond), ShouldBeBetween, 200, 1700)
		answer(s, 50*millisecond)
		So(answer(s, 50*millisecond), ShouldEqual, 0)
	})
	Convey("Nothing is refused after 5 s without answers", t, func() {
		s := newSimulation(head("a"), head("b"))
		So(answer(s, 400*millisecond), ShouldBeGreaterThan, 200)
		s.now = s.now.Add(5 * second)
		for range 10 {
			So(s.choose("llm").Overload, ShouldBeFalse)
		}
	})
	Convey("Shedding keeps three quarters of the served requests on time at 111% of the capacity", t, func() {
		s := newSimulation(head("a"), head("b"))
		wait, served, late, refused := 100.0, 0, 0, 0
		for range 4000 { // 100 requests a second, of which 90 can be served
			s.now = s.now.Add(10 * millisecond)
			wait = max(wait-9, 50)
			c := s.choose("llm")
			if !c.OK {
				refused++
				continue
			}
			wait += 10
			served++
			if wait > 200 {
				late++
			}
			s.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Began, ID: c.Endpoint.ID, Tokens: 1000,
				Limit: 200 * millisecond, Waited: dragonflyduration.Duration(wait) * millisecond})
			s.end(c.Endpoint.ID, false)
		}
		So(late, ShouldBeLessThan, served/4)
		So(refused, ShouldBeLessThan, 800)
	})
}

// TestRepeatedPrefill guards the gaps between the tokens of streams in progress when a
// group fails and other groups have to prefill all its prompts again.
func TestRepeatedPrefill(t *testing.T) {
	again := dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Choose, Service: "llm", Model: "large", Tokens: 2000, Retry: true, RepeatedPrefill: true}
	Convey("The first repeated prefill is sent at once, further ones at a share of the groups' prefill rate", t, func() {
		s := newSimulation(head("a"), head("b"))
		So(s.step(again).OK, ShouldBeTrue)
		assertRefused(s.step(again))
		sent := 1
		for range 10 {
			s.now = s.now.Add(50 * millisecond)
			if s.step(again).OK {
				sent++
			}
		}
		// Two groups prefill 100,000 tokens a second, 40% of it for repeated prefills.
		So(sent, ShouldBeBetween, 6, 13)
	})
	Convey("New requests do not wait for the budget for repeated prefills", t, func() {
		s := newSimulation(head("a"), head("b"))
		So(s.step(again).OK, ShouldBeTrue)
		So(s.choose("llm").OK, ShouldBeTrue)
	})
}

// TestAdmission guards the gaps between the tokens of streams in progress against a
// backlog of prompts.
func TestAdmission(t *testing.T) {
	Convey("An engine with a backlog of prompts to prefill is full", t, func() {
		s := newSimulation(head("a"))
		admitted := 0
		for s.choose("llm").OK {
			admitted++
			So(admitted, ShouldBeLessThan, 48)
		}
		So(admitted, ShouldBeGreaterThan, 2)
		c := s.choose("llm")
		So(c.Full, ShouldBeTrue)
		s.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Began, ID: "a", Tokens: 3000})
		So(s.choose("llm").OK, ShouldBeTrue)
	})
	Convey("An engine with a long measured pass is full and another one is chosen", t, func() {
		s := newSimulation(head("a"), head("b"))
		s.choose("llm", "b")
		s.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Measured, Speeds: []dragonflyendpointspeed.Speed{{ID: "a", Pass: 400 * millisecond}}})
		assertChosen(s.choose("llm"), "b")
		So(s.choose("llm", "b").Full, ShouldBeTrue)
	})
	Convey("An engine with requests that wait long for a slot is full", t, func() {
		s := newSimulation(head("a"))
		s.choose("llm")
		s.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Measured, Speeds: []dragonflyendpointspeed.Speed{{ID: "a", Pass: 50 * millisecond, Waited: 400 * millisecond}}})
		So(s.choose("llm").Full, ShouldBeTrue)
	})
	Convey("An idle engine accepts any request", t, func() {
		s := newSimulation(head("a"))
		c := s.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Choose, Service: "llm", Model: "large", Tokens: 100_000, Limit: millisecond})
		So(c.OK, ShouldBeTrue)
	})
}

// TestBounds guards the limits that hold over all entries together.
func TestBounds(t *testing.T) {
	Convey("Retries stay within the ratio plus the extra retries of a window", t, func() {
		s := newSimulation(plain("a"), plain("b"))
		requests, retries := 0, 0
		for range 1000 {
			s.now = s.now.Add(10 * millisecond)
			s.end(s.choose("plain").Endpoint.ID, false)
			requests++
			for range 3 {
				if c := s.retry(); c.OK {
					s.end(c.Endpoint.ID, false)
					retries++
				}
			}
		}
		So(retries, ShouldBeGreaterThan, 50)
		So(float64(retries), ShouldBeLessThanOrEqualTo, 0.2*float64(requests)+20)
	})
	Convey("The limit of retries is divided by the number of entries", t, func() {
		s := newSimulation(plain("a"))
		s.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.DocumentReceived, Entries: 4})
		retries := 0
		for s.retry().OK {
			retries++
		}
		So(retries, ShouldBeLessThanOrEqualTo, 20/4)
	})
	Convey("A cold endpoint gets no more requests than its rate limit allows", t, func() {
		cold := plain("a")
		cold.ColdLeft = 3 * second
		s := newSimulation(cold)
		sent := 0
		for range 100 {
			s.now = s.now.Add(10 * millisecond)
			if s.choose("plain").OK {
				sent++
			}
		}
		So(sent, ShouldBeBetween, 3, 16)
	})
}

// TestTable guards the routes against the table of a new leader, to which not all
// endpoints have reported yet.
func TestTable(t *testing.T) {
	Convey("An endpoint that is missing from an incomplete table is kept", t, func() {
		s := newSimulation(plain("a"), plain("b"))
		s.table(false, plain("a"))
		assertChosen(s.choose("plain", "a"), "b")
	})
	Convey("An endpoint that is missing from a complete table is removed", t, func() {
		s := newSimulation(plain("a"), plain("b"))
		s.table(true, plain("a"))
		assertRefused(s.choose("plain", "a"))
	})
	Convey("A table row of an earlier boot does not replace that of a later boot", t, func() {
		late := plain("a")
		late.Boot, late.Address = 2, "new"
		s := newSimulation(late)
		s.table(false, plain("a"))
		So(s.choose("plain").Endpoint.Address, ShouldEqual, "new")
	})
	Convey("An endpoint that is leaving is not restored by the table of a new leader", t, func() {
		leaving := plain("a")
		leaving.Leaving = true
		s := newSimulation(leaving)
		s.table(false, plain("a"))
		assertRefused(s.choose("plain"))
	})
}
