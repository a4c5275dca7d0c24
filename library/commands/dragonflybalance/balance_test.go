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
	"dragonflyrelay.example/library/values/dragonflyenginefigures"
	"dragonflyrelay.example/library/values/dragonflymeasure"
	"dragonflyrelay.example/library/values/dragonflymodelfigures"
	"dragonflyrelay.example/library/values/dragonflyrepeatlimits"
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

func newSimulation(rows ...dragonflyendpoint.Endpoint) *simulation {
	w := &simulation{now: dragonflyinstant.Instant(second)}
	w.balance = dragonflybalance.New(dragonflyrepeatlimits.Limits{Ratio: 0.2, Extra: 20, Window: 10 * second})
	model := dragonflymodelfigures.Model{Name: "large", Size: 4, Pace: 1}
	d := dragonflydocument.Document{}.
		WithService(dragonflydocumentservice.Service{Name: "plain", ColdRate: 10}).
		WithService(dragonflydocumentservice.Service{Name: "llm", Engine: dragonflyenginefigures.Engine{
			Slots: 48, Models: []dragonflymodelfigures.Model{model}, ReadRate: 50_000,
			StepTime: 6 * millisecond, Stride: 6,
		}})
	w.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Stated, Document: d, Entries: 1})
	w.table(true, rows...)
	return w
}

func (w *simulation) step(ev dragonflybalanceevent.Event) (c dragonflychoice.Choice) {
	w.balance, c = w.balance.Step(w.now, ev)
	return c
}

func (w *simulation) table(complete bool, rows ...dragonflyendpoint.Endpoint) {
	w.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Tabled, Endpoints: rows, Complete: complete})
}

func (w *simulation) choose(service string, exclude ...string) dragonflychoice.Choice {
	ev := dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Choose, Service: service, Exclude: exclude}
	if service == "llm" {
		ev.Model, ev.Tokens, ev.Limit = "large", 1000, 150*millisecond
	}
	return w.step(ev)
}

func (w *simulation) repeat() dragonflychoice.Choice {
	return w.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Choose, Service: "plain", Repeat: true})
}

func (w *simulation) end(id string, lost bool) {
	ev := dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Ended, ID: id, Outcome: dragonflybalanceevent.Served}
	if lost {
		ev.Outcome = dragonflybalanceevent.Lost
	}
	w.step(ev)
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
	Convey("The endpoint with less work is chosen", t, func() {
		w := newSimulation(plain("a"), plain("b"))
		first := w.choose("plain").Endpoint.ID
		So(w.choose("plain").Endpoint.ID, ShouldNotEqual, first)
	})
	Convey("An endpoint that failed is avoided while there is another", t, func() {
		w := newSimulation(plain("a"), plain("b"))
		w.choose("plain", "b")
		w.end("a", true)
		assertChosen(w.choose("plain"), "b")
		assertChosen(w.choose("plain"), "b")
		assertChosen(w.choose("plain", "b"), "a")
	})
	Convey("Endpoints that were tried, leave or are taken out get nothing", t, func() {
		leaving := plain("b")
		leaving.Leaving = true
		w := newSimulation(plain("a"), leaving, plain("c"))
		w.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Stated, OutZones: []string{"zone-c"}, Entries: 1})
		assertRefused(w.choose("plain", "a"))
	})
	Convey("A model without a group is refused", t, func() {
		w := newSimulation(plain("a"))
		assertRefused(w.choose("llm"))
	})
}

// TestSpread guards against a herd: entries that all see the same speeds late must
// not all take the same group.
func TestSpread(t *testing.T) {
	groups := func() *simulation { return newSimulation(head("a"), head("b"), head("c"), head("d")) }
	measure := func(w *simulation, a dragonflyduration.Duration) {
		w.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Measured, Measures: []dragonflymeasure.Measure{
			{ID: "a", Pass: a}, {ID: "b", Pass: 80 * millisecond}, {ID: "c", Pass: 80 * millisecond}, {ID: "d", Pass: 80 * millisecond},
		}})
	}
	send := func(w *simulation, n int) (counts map[string]int) {
		counts = map[string]int{}
		for range n {
			w.now = w.now.Add(50 * millisecond)
			id := w.choose("llm").Endpoint.ID
			counts[id]++
			w.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Began, ID: id, Tokens: 1000})
			w.end(id, false)
		}
		return counts
	}
	Convey("A group that looks a little faster does not get all requests", t, func() {
		w := groups()
		measure(w, 60*millisecond)
		for _, n := range send(w, 40) {
			So(n, ShouldBeBetween, 6, 16)
		}
	})
	Convey("A slow group gets fewer requests", t, func() {
		w := groups()
		measure(w, 140*millisecond)
		counts := send(w, 40)
		So(counts["a"], ShouldBeBetween, 2, 9)
	})
	Convey("A group that has just been formed gets its share and no more", t, func() {
		w := newSimulation(head("a"), head("b"), head("c"))
		send(w, 40)
		w.table(true, head("a"), head("b"), head("c"), head("d"))
		So(send(w, 8)["d"], ShouldBeBetween, 0, 4)
	})
}

// TestShedding guards that an overload makes a few requests come back instead of
// making all of them late.
func TestShedding(t *testing.T) {
	// answer lets 20 s pass in which groups answer the first event after the given
	// time, and returns how many of 100 requests a second are refused.
	answer := func(w *simulation, after dragonflyduration.Duration) (refused int) {
		for range 2000 {
			w.now = w.now.Add(10 * millisecond)
			c := w.choose("llm")
			if !c.OK {
				So(c.Overload, ShouldBeTrue)
				refused++
				continue
			}
			w.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Began, ID: c.Endpoint.ID, Tokens: 1000, Limit: 200 * millisecond, Waited: after})
			w.end(c.Endpoint.ID, false)
		}
		return refused
	}
	Convey("Nothing is refused while first events are on time", t, func() {
		So(answer(newSimulation(head("a"), head("b")), 100*millisecond), ShouldEqual, 0)
	})
	Convey("A part is refused while they are late, and nothing afterwards", t, func() {
		w := newSimulation(head("a"), head("b"))
		So(answer(w, 300*millisecond), ShouldBeBetween, 200, 1700)
		answer(w, 50*millisecond)
		So(answer(w, 50*millisecond), ShouldEqual, 0)
	})
	Convey("Nothing is refused after a time without answers", t, func() {
		w := newSimulation(head("a"), head("b"))
		So(answer(w, 400*millisecond), ShouldBeGreaterThan, 200)
		w.now = w.now.Add(5 * second)
		for range 10 {
			So(w.choose("llm").Overload, ShouldBeFalse)
		}
	})
	Convey("A queue that grows with each request settles near the target", t, func() {
		w := newSimulation(head("a"), head("b"))
		wait, served, late, refused := 100.0, 0, 0, 0
		for range 4000 { // 100 requests a second, of which 90 can be served
			w.now = w.now.Add(10 * millisecond)
			wait = max(wait-9, 50)
			c := w.choose("llm")
			if !c.OK {
				refused++
				continue
			}
			wait += 10
			served++
			if wait > 200 {
				late++
			}
			w.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Began, ID: c.Endpoint.ID, Tokens: 1000,
				Limit: 200 * millisecond, Waited: dragonflyduration.Duration(wait) * millisecond})
			w.end(c.Endpoint.ID, false)
		}
		So(late, ShouldBeLessThan, served/4)
		So(refused, ShouldBeLessThan, 800)
	})
}

// TestRepeatedPrefill guards the pauses of the streams in progress when a group breaks and
// all its prompts are read again elsewhere.
func TestRepeatedPrefill(t *testing.T) {
	again := dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Choose, Service: "llm", Model: "large", Tokens: 2000, Repeat: true, Reread: true}
	Convey("The first prompt goes at once, others as fast as the groups can read", t, func() {
		w := newSimulation(head("a"), head("b"))
		So(w.step(again).OK, ShouldBeTrue)
		assertRefused(w.step(again))
		sent := 1
		for range 10 {
			w.now = w.now.Add(50 * millisecond)
			if w.step(again).OK {
				sent++
			}
		}
		// Two groups read 100,000 tokens a second; less than half of it is for these.
		So(sent, ShouldBeBetween, 6, 13)
	})
	Convey("Requests that are sent for the first time do not wait", t, func() {
		w := newSimulation(head("a"), head("b"))
		So(w.step(again).OK, ShouldBeTrue)
		So(w.choose("llm").OK, ShouldBeTrue)
	})
}

// TestAdmission guards the pauses of the streams in progress against a backlog of
// prompts.
func TestAdmission(t *testing.T) {
	Convey("Prompts that are not read yet fill an engine", t, func() {
		w := newSimulation(head("a"))
		admitted := 0
		for w.choose("llm").OK {
			admitted++
			So(admitted, ShouldBeLessThan, 48)
		}
		So(admitted, ShouldBeGreaterThan, 2)
		c := w.choose("llm")
		So(c.Full, ShouldBeTrue)
		w.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Began, ID: "a", Tokens: 3000})
		So(w.choose("llm").OK, ShouldBeTrue)
	})
	Convey("A long measured pass fills an engine, and another one is chosen", t, func() {
		w := newSimulation(head("a"), head("b"))
		w.choose("llm", "b")
		w.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Measured, Measures: []dragonflymeasure.Measure{{ID: "a", Pass: 400 * millisecond}}})
		assertChosen(w.choose("llm"), "b")
		So(w.choose("llm", "b").Full, ShouldBeTrue)
	})
	Convey("Requests that wait for a slot fill an engine", t, func() {
		w := newSimulation(head("a"))
		w.choose("llm")
		w.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Measured, Measures: []dragonflymeasure.Measure{{ID: "a", Pass: 50 * millisecond, Waited: 400 * millisecond}}})
		So(w.choose("llm").Full, ShouldBeTrue)
	})
	Convey("An idle engine takes any request", t, func() {
		w := newSimulation(head("a"))
		c := w.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Choose, Service: "llm", Model: "large", Tokens: 100_000, Limit: millisecond})
		So(c.OK, ShouldBeTrue)
	})
}

// TestBounds guards the bounds that hold over all entries.
func TestBounds(t *testing.T) {
	Convey("Repeats stay within ratio and extra in every window", t, func() {
		w := newSimulation(plain("a"), plain("b"))
		requests, repeats := 0, 0
		for range 1000 {
			w.now = w.now.Add(10 * millisecond)
			w.end(w.choose("plain").Endpoint.ID, false)
			requests++
			for range 3 {
				if c := w.repeat(); c.OK {
					w.end(c.Endpoint.ID, false)
					repeats++
				}
			}
		}
		So(repeats, ShouldBeGreaterThan, 50)
		So(float64(repeats), ShouldBeLessThanOrEqualTo, 0.2*float64(requests)+20)
	})
	Convey("The bounds are divided by the number of entries", t, func() {
		w := newSimulation(plain("a"))
		w.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Stated, Entries: 4})
		repeats := 0
		for w.repeat().OK {
			repeats++
		}
		So(repeats, ShouldBeLessThanOrEqualTo, 20/4)
	})
	Convey("A cold endpoint gets no more than its rate", t, func() {
		cold := plain("a")
		cold.ColdLeft = 3 * second
		w := newSimulation(cold)
		sent := 0
		for range 100 {
			w.now = w.now.Add(10 * millisecond)
			if w.choose("plain").OK {
				sent++
			}
		}
		So(sent, ShouldBeBetween, 3, 16)
	})
}

// TestTable guards the table against a new leader that does not know all yet.
func TestTable(t *testing.T) {
	Convey("A row that is missing from an incomplete table is kept", t, func() {
		w := newSimulation(plain("a"), plain("b"))
		w.table(false, plain("a"))
		assertChosen(w.choose("plain", "a"), "b")
	})
	Convey("A row that is missing from a complete table is dropped", t, func() {
		w := newSimulation(plain("a"), plain("b"))
		w.table(true, plain("a"))
		assertRefused(w.choose("plain", "a"))
	})
	Convey("A row of an earlier boot does not replace a later one", t, func() {
		late := plain("a")
		late.Boot, late.Address = 2, "new"
		w := newSimulation(late)
		w.table(false, plain("a"))
		So(w.choose("plain").Endpoint.Address, ShouldEqual, "new")
	})
	Convey("An endpoint that leaves does not come back through a new leader", t, func() {
		leaving := plain("a")
		leaving.Leaving = true
		w := newSimulation(leaving)
		w.table(false, plain("a"))
		assertRefused(w.choose("plain"))
	})
}
