package dragonflyfleet_test

import (
	"fmt"

	"dragonflyrelay.example/library/commands/dragonflyfleet"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflydocument"
	"dragonflyrelay.example/library/values/dragonflydocumentservice"
	"dragonflyrelay.example/library/values/dragonflyendpoint"
	"dragonflyrelay.example/library/values/dragonflyenginegroup"
	"dragonflyrelay.example/library/values/dragonflyengineprofile"
	"dragonflyrelay.example/library/values/dragonflyfleetevent"
	"dragonflyrelay.example/library/values/dragonflyfollowresponse"
	"dragonflyrelay.example/library/values/dragonflymodelprofile"
	"dragonflyrelay.example/library/values/dragonflyobservation"
	"dragonflyrelay.example/library/values/dragonflyserverorder"
	. "github.com/smartystreets/goconvey/convey"
)

const second = dragonflyduration.Second

// engine is a stand-in for one engine that carries out orders at once.
type engine struct {
	obs    dragonflyobservation.Observation
	dark   bool
	paused bool
}

// world drives one fleet and its engines.
type world struct {
	now     dragonflyinstant.Instant
	fleet   dragonflyfleet.Fleet
	engines []*engine
}

func document() dragonflydocument.Document {
	model := dragonflymodelprofile.ModelProfile{Name: "large", Size: 3, Share: 1, Pace: 1, Load: 10 * second, Warmup: second}
	return dragonflydocument.Document{}.WithVersion(1).
		WithService(dragonflydocumentservice.Service{Name: "llm", Engine: dragonflyengineprofile.EngineProfile{
			Slots: 48, Models: []dragonflymodelprofile.ModelProfile{model}, LoadsPerSecond: 3, LoadsAtOnce: 6,
		}}).
		WithService(dragonflydocumentservice.Service{Name: "plain"})
}

// newWorld returns a leading fleet with n engines in each of two domains.
func newWorld(n int) *world {
	w := &world{now: 1}
	w.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.DocumentReceived, Document: document()})
	w.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Led, Term: 1})
	for _, domain := range []string{"a", "b"} {
		for i := range n {
			id := fmt.Sprintf("%s%d", domain, i)
			w.engines = append(w.engines, &engine{obs: dragonflyobservation.Observation{
				ID: id, Boot: 1000, Service: "llm", Address: "addr-" + id, Zone: domain, Domain: domain,
				State: dragonflyobservation.Ready, Slots: 48, Staged: []string{"large"},
			}})
		}
	}
	return w
}

func (w *world) step(ev dragonflyfleetevent.Event) {
	next, _ := w.fleet.Step(w.now, ev)
	w.fleet = next
}

func (w *world) observe(o dragonflyobservation.Observation) {
	w.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Observed, Observation: o})
}

// pass lets time pass in steps of 100 ms, in each of which all engines report and
// carry out their orders.
func (w *world) pass(d dragonflyduration.Duration) {
	for range int(d / (100 * dragonflyduration.Millisecond)) {
		w.now = w.now.Add(100 * dragonflyduration.Millisecond)
		for _, e := range w.engines {
			w.report(e)
		}
		w.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Tick})
		for _, e := range w.engines {
			e.carryOut(w.fleet.Order(e.obs.Address))
		}
	}
}

func (w *world) report(e *engine) {
	if e.dark {
		w.observe(dragonflyobservation.Observation{Address: e.obs.Address, State: dragonflyobservation.Unreachable})
		return
	}
	if e.paused {
		w.observe(dragonflyobservation.Observation{Address: e.obs.Address, State: dragonflyobservation.Silent})
		return
	}
	e.obs.Sequence++
	w.observe(e.obs)
	local := e.obs
	local.ID, local.State = "", dragonflyobservation.Unknown
	w.observe(local)
}

func (e *engine) carryOut(o dragonflyserverorder.Order) {
	if e.dark || e.paused {
		return
	}
	switch o.Kind {
	case dragonflyserverorder.Join:
		for rank, id := range o.Members {
			if id == e.obs.ID {
				e.obs.Group = dragonflyenginegroup.Group{Name: o.Group, Epoch: o.Epoch, Rank: rank, State: dragonflyenginegroup.Ready}
				e.obs.Model = o.Model
			}
		}
	case dragonflyserverorder.Open:
		e.obs.Group.State = dragonflyenginegroup.Open
	case dragonflyserverorder.Close:
		e.obs.Group.State = dragonflyenginegroup.Ready
	case dragonflyserverorder.Leave:
		e.obs.Group, e.obs.Model = dragonflyenginegroup.Group{}, ""
	case dragonflyserverorder.Stage:
		e.obs.Staged = []string{o.Model}
	}
}

func (w *world) rows() []dragonflyendpoint.Endpoint {
	return w.fleet.WithTable(dragonflyfollowresponse.Response{}, 0, 0).Endpoints
}

// serving returns the heads that take requests.
func (w *world) serving() (ids []string) {
	for _, r := range w.rows() {
		if !r.Leaving {
			ids = append(ids, r.ID)
		}
	}
	return ids
}

// head returns the engine that leads the group of the first row.
func (w *world) head() *engine {
	for _, e := range w.engines {
		if e.obs.ID == w.rows()[0].ID {
			return e
		}
	}
	return nil
}

// member returns an engine of the head's group that is not the head.
func (w *world) member(head *engine) *engine {
	for _, e := range w.engines {
		if e != head && e.obs.Group.Is(head.obs.Group.Name, head.obs.Group.Epoch) {
			return e
		}
	}
	return nil
}

// membersLeaving returns how many members of the head's group are draining.
func (w *world) membersLeaving(head *engine) (n int) {
	for _, e := range w.engines {
		if e.obs.Group.Is(head.obs.Group.Name, head.obs.Group.Epoch) && e.obs.State == dragonflyobservation.Draining {
			n++
		}
	}
	return n
}

// assertWhole guards that each open head has all members ready under its name,
// and that no engine is in two groups.
func assertWhole(w *world) {
	for _, e := range w.engines {
		if e.dark || e.obs.Group.State != dragonflyenginegroup.Open {
			continue
		}
		members := 0
		for _, m := range w.engines {
			if !m.dark && m.obs.Group.Is(e.obs.Group.Name, e.obs.Group.Epoch) {
				members++
				So(m.obs.Domain, ShouldEqual, e.obs.Domain)
			}
		}
		So(members, ShouldEqual, 3)
	}
}
