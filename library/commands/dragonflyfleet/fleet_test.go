package dragonflyfleet_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyfleet"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflydocument"
	"dragonflyrelay.example/library/values/dragonflydocumentservice"
	"dragonflyrelay.example/library/values/dragonflyendpoint"
	"dragonflyrelay.example/library/values/dragonflyenginefigures"
	"dragonflyrelay.example/library/values/dragonflyenginegroup"
	"dragonflyrelay.example/library/values/dragonflyfleetevent"
	"dragonflyrelay.example/library/values/dragonflymodelfigures"
	"dragonflyrelay.example/library/values/dragonflynews"
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
	model := dragonflymodelfigures.Model{Name: "large", Size: 3, Share: 1, Pace: 1, Load: 10 * second, Warmup: second}
	return dragonflydocument.Document{}.WithVersion(1).
		WithService(dragonflydocumentservice.Service{Name: "llm", Engine: dragonflyenginefigures.Engine{
			Slots: 48, Models: []dragonflymodelfigures.Model{model}, LoadsPerSecond: 3, LoadsAtOnce: 6,
		}}).
		WithService(dragonflydocumentservice.Service{Name: "plain"})
}

// newWorld returns a leading fleet with n engines in each of two domains.
func newWorld(n int) *world {
	w := &world{now: 1}
	w.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Stated, Document: document()})
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
	return w.fleet.WithTable(dragonflynews.News{}, 0, 0).Endpoints
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

func TestGroups(t *testing.T) {
	Convey("Groups form once the engines are known", t, func() {
		w := newWorld(4)
		w.pass(4 * second)
		So(w.serving(), ShouldHaveLength, 2)
		assertWhole(w)
	})
	Convey("A lost member ends its group, and a spare repairs it", t, func() {
		w := newWorld(4)
		w.pass(4 * second)
		head := w.head()
		epoch := head.obs.Group.Epoch
		w.member(head).dark = true
		w.pass(2 * second)
		So(w.serving(), ShouldHaveLength, 2)
		for _, r := range w.rows() {
			So(r.Epoch, ShouldNotEqual, epoch)
		}
		assertWhole(w)
	})
	Convey("Members of a lost head are used again", t, func() {
		w := newWorld(4)
		w.pass(4 * second)
		w.head().dark = true
		w.pass(2 * second)
		So(w.serving(), ShouldHaveLength, 2)
		assertWhole(w)
	})
	Convey("Members of a paused head are not used before it has left", t, func() {
		w := newWorld(4)
		w.pass(4 * second)
		head := w.head()
		group := head.obs.Group
		head.paused = true
		w.pass(20 * second)
		So(w.serving(), ShouldNotContain, head.obs.ID)
		for _, e := range w.engines {
			if e != head && e.obs.Domain == head.obs.Domain {
				So(e.obs.Group.State, ShouldNotEqual, dragonflyenginegroup.Open)
			}
		}
		So(w.member(head).obs.Group.Is(group.Name, group.Epoch), ShouldBeTrue)
		head.paused = false
		w.pass(2 * second)
		So(w.serving(), ShouldHaveLength, 2)
		assertWhole(w)
	})
	Convey("A head that leaves gets no new work and finishes first", t, func() {
		w := newWorld(4)
		w.pass(4 * second)
		head := w.head()
		head.obs.State = dragonflyobservation.Draining
		w.report(head)
		So(w.serving(), ShouldNotContain, head.obs.ID)
		w.pass(2 * second)
		So(w.serving(), ShouldHaveLength, 2)
		So(w.serving(), ShouldNotContain, head.obs.ID)
	})
	Convey("Groups whose members leave close one after the other", t, func() {
		w := newWorld(6)
		w.pass(4 * second)
		closed := func() (n int) {
			for _, r := range w.rows() {
				if r.Leaving && r.Group != "" {
					n++
				}
			}
			return n
		}
		So(len(w.serving()), ShouldBeGreaterThan, 1)
		leaving := 0
		for _, e := range w.engines {
			if e.obs.Group.State != dragonflyenginegroup.None && e.obs.Group.Rank == 1 {
				e.obs.State = dragonflyobservation.Draining
				leaving++
			}
		}
		So(leaving, ShouldBeGreaterThan, 1)
		for range 40 {
			for _, e := range w.engines {
				w.report(e)
			}
			So(closed(), ShouldBeLessThanOrEqualTo, 1)
			w.pass(100 * dragonflyduration.Millisecond)
		}
		for _, e := range w.engines {
			if e.obs.Group.State == dragonflyenginegroup.Open {
				So(w.membersLeaving(e), ShouldEqual, 0)
			}
		}
		assertWhole(w)
	})
	Convey("Groups of a zone that is taken out are made up for elsewhere", t, func() {
		w := newWorld(7)
		w.pass(4 * second)
		before := len(w.serving())
		w.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Stated, Document: document(), OutZones: []string{"a"}})
		w.pass(3 * second)
		elsewhere := 0
		for _, r := range w.rows() {
			if r.Zone == "b" && !r.Leaving {
				elsewhere++
			}
		}
		So(elsewhere, ShouldEqual, 2)
		So(len(w.serving()), ShouldBeGreaterThanOrEqualTo, before)
		assertWhole(w)
	})
	Convey("A slow member is replaced", t, func() {
		w := newWorld(4)
		w.pass(4 * second)
		slow := w.member(w.head())
		slow.obs.Pace = 5
		w.pass(2 * second)
		So(w.serving(), ShouldHaveLength, 2)
		So(slow.obs.Group.State, ShouldNotEqual, dragonflyenginegroup.Open)
	})
	Convey("Spares are warmed up in groups that never open", t, func() {
		w := newWorld(4)
		w.pass(5 * second)
		for _, e := range w.engines {
			So(e.obs.Model, ShouldEqual, "large")
		}
		So(w.serving(), ShouldHaveLength, 2)
	})
	Convey("A new leader adopts the groups and gives higher epochs", t, func() {
		w := newWorld(4)
		w.pass(4 * second)
		before := w.serving()
		w.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Followed})
		w.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Led, Term: 2})
		w.pass(3 * second)
		So(w.serving(), ShouldResemble, before)
		known := map[uint64]bool{}
		for _, r := range w.rows() {
			known[r.Epoch] = true
		}
		w.head().dark = true
		w.pass(2 * second)
		assertWhole(w)
		So(w.serving(), ShouldHaveLength, 2)
		for _, r := range w.rows() {
			if !known[r.Epoch] {
				So(r.Epoch, ShouldBeGreaterThan, uint64(2)<<20)
			}
		}
	})
	Convey("A new leader ends no group before it knows all of them", t, func() {
		w := newWorld(4)
		w.pass(4 * second)
		before := w.serving()
		w.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Followed})
		w.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Led, Term: 2})
		for _, e := range w.engines[:5] { // The others report later.
			w.report(e)
		}
		for range 20 {
			w.now = w.now.Add(100 * dragonflyduration.Millisecond)
			w.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Tick})
			for _, e := range w.engines {
				So(w.fleet.Order(e.obs.Address).Kind, ShouldNotEqual, dragonflyserverorder.Leave)
			}
		}
		w.pass(3 * second)
		So(w.serving(), ShouldResemble, before)
	})
	Convey("A group whose member was lost before the leader led is ended", t, func() {
		w := newWorld(4)
		w.pass(4 * second)
		head := w.head()
		lost := w.member(head)
		for i, e := range w.engines {
			if e == lost {
				w.engines = append(w.engines[:i], w.engines[i+1:]...)
				break
			}
		}
		w.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Followed})
		w.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Led, Term: 2})
		w.pass(dragonflyfleet.CompleteAfter + 2*second)
		So(w.serving(), ShouldHaveLength, 2)
		assertWhole(w)
	})
	Convey("A head that is cut off from control keeps its members for ForgetAfter", t, func() {
		w := newWorld(4)
		w.pass(4 * second)
		head := w.head()
		group := head.obs.Group
		rest := w.engines
		w.engines = nil
		for _, e := range rest {
			if e != head {
				w.engines = append(w.engines, e)
			}
		}
		w.pass(dragonflyfleet.ForgetAfter - second)
		for _, e := range w.engines {
			if e.obs.Domain == head.obs.Domain && e.obs.Group.Is(group.Name, group.Epoch) {
				So(w.fleet.Order(e.obs.Address).Kind, ShouldNotEqual, dragonflyserverorder.Join)
			}
		}
	})
}

// TestHeartbeats guards that late, foreign and repeated reports change nothing.
func TestHeartbeats(t *testing.T) {
	plain := dragonflyobservation.Observation{
		ID: "p1", Boot: 2000, Sequence: 5, Service: "plain", Address: "p-addr", Zone: "a", State: dragonflyobservation.Ready,
	}
	Convey("A plain upstream gets work until it leaves", t, func() {
		w := newWorld(0)
		w.observe(plain)
		So(w.serving(), ShouldResemble, []string{"p1"})
		w.observe(dragonflyobservation.Observation{ID: "p1", State: dragonflyobservation.Left})
		So(w.serving(), ShouldBeEmpty)
	})
	Convey("A heartbeat that arrives after the farewell does not bring it back", t, func() {
		w := newWorld(0)
		w.observe(plain)
		w.observe(dragonflyobservation.Observation{ID: "p1", State: dragonflyobservation.Left})
		late := plain
		late.Sequence = 4
		w.observe(late)
		So(w.serving(), ShouldBeEmpty)
	})
	Convey("An older heartbeat does not undo draining", t, func() {
		w := newWorld(0)
		drained := plain
		drained.Sequence, drained.State = 6, dragonflyobservation.Draining
		w.observe(drained)
		w.observe(plain)
		So(w.serving(), ShouldBeEmpty)
	})
	Convey("A delayed heartbeat of an earlier boot does not take the address back", t, func() {
		w := newWorld(0)
		w.observe(plain)
		old := plain
		old.ID, old.Boot, old.Sequence = "p0", 1000, 99
		w.observe(old)
		So(w.serving(), ShouldResemble, []string{"p1"})
	})
	Convey("A silent plain upstream gets no work", t, func() {
		w := newWorld(0)
		w.observe(plain)
		w.pass(dragonflyfleet.SilentAfter + second)
		So(w.serving(), ShouldBeEmpty)
	})
	Convey("Equal events give equal states", t, func() {
		a, b := newWorld(4), newWorld(4)
		a.pass(5 * second)
		b.pass(5 * second)
		So(a.rows(), ShouldResemble, b.rows())
	})
}
