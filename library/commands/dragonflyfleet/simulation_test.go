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
	"dragonflyrelay.example/library/values/dragonflyoccurrence"
	"dragonflyrelay.example/library/values/dragonflyserverorder"
	"dragonflyrelay.example/library/values/dragonflywithdrawal"
	. "github.com/smartystreets/goconvey/convey"
)

const second = dragonflyduration.Second

// engine is a fake engine that executes orders at once.
type engine struct {
	obs         dragonflyobservation.Observation
	unreachable bool
	paused      bool
	loading     bool   // a join waits for a load of weights
	slowToOpen  bool   // an order to open has no effect
	cut         bool   // no report of it or of its agent reaches control, and no order reaches it
	dark        bool   // unreachable without refusing connections
	starved     bool   // its agent lacks processor time and cannot connect to it
	agentGone   bool   // the agent beside it neither reports nor gives orders
	beatsLost   bool   // its heartbeats do not arrive, the reports of its agent do
	reporter    uint64 // of the start of its agent, 0 if that does not number its reports
	reports     uint64
	history     []dragonflyobservation.Observation // reports of its agent, if it numbers them
	polled      dragonflyenginegroup.Group         // that its agent has last seen it in
	former      dragonflyenginegroup.Group
	slowOrders  bool // it carries orders out 2 to 12 s later, without an answer
	late        []lateOrder
	oldAgent    bool                       // the agent beside it expects the state of the engine, not the one that control knows
	fence       uint64                     // highest of the orders that it has accepted
	epoch       uint64                     // highest of the groups that it has joined
	incomplete  dragonflyduration.Duration // time for which the group of this head has lacked a member
}

// simulation drives one fleet and its engines.
type simulation struct {
	now         dragonflyinstant.Instant
	fleet       dragonflyfleet.Fleet
	engines     []*engine
	violations  []string // joins of engines whose head was at work
	reverse     bool     // engines carry out orders in the reverse order
	term        uint64
	withdrawals []dragonflywithdrawal.Withdrawal // recorded ones
	opened      []string                         // groups of the recorded openings
	logDown     bool                             // withdrawals and openings are neither recorded nor received
	occurrences []dragonflyoccurrence.Occurrence // of all steps but those of the log
	// carryOut, if set, carries out an order in place of accept and reports whether it has.
	carryOut func(e *engine, o dragonflyserverorder.Order) bool
}

func testDocument() dragonflydocument.Document {
	model := dragonflymodelprofile.ModelProfile{Name: "large", Size: 3, Share: 1, Pace: 1, Load: 10 * second, Warmup: second}
	return dragonflydocument.Document{}.WithVersion(1).
		WithService(dragonflydocumentservice.Service{Name: "llm", Engine: dragonflyengineprofile.EngineProfile{
			Slots: 48, Models: []dragonflymodelprofile.ModelProfile{model}, LoadsPerSecond: 3, LoadsAtOnce: 6,
		}}).
		WithService(dragonflydocumentservice.Service{Name: "plain"})
}

// newSimulation returns a leading fleet with n engines in each of two domains.
func newSimulation(n int) *simulation {
	s := &simulation{now: 1}
	s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.DocumentReceived, Document: testDocument()})
	s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Led, Term: 1})
	for _, domain := range []string{"a", "b"} {
		for i := range n {
			id := fmt.Sprintf("%s%d", domain, i)
			s.engines = append(s.engines, &engine{obs: dragonflyobservation.Observation{
				ID: id, Boot: 1000, Service: "llm", Address: "addr-" + id, Zone: domain, Domain: domain,
				State: dragonflyobservation.Ready, Slots: 48, Staged: []string{"large"},
			}})
		}
	}
	return s
}

func (s *simulation) step(ev dragonflyfleetevent.Event) {
	next, occurrences := s.fleet.Step(s.now, ev)
	s.fleet, s.occurrences = next, append(s.occurrences, occurrences...)
	if ev.Kind == dragonflyfleetevent.Led {
		s.term = ev.Term
	}
	due, opened := s.fleet.DueWithdrawals(), s.fleet.DueOpenings()
	if !s.logDown && (len(due)+len(opened) > 0 || ev.Kind == dragonflyfleetevent.Led) {
		s.withdrawals, s.opened = append(s.withdrawals, due...), append(s.opened, opened...)
		s.fleet, _ = s.fleet.Step(s.now, dragonflyfleetevent.Event{
			Kind: dragonflyfleetevent.WithdrawalsReceived, Withdrawals: s.withdrawals, Opened: s.opened, Term: s.term,
		})
	}
}

func (s *simulation) observe(o dragonflyobservation.Observation) {
	s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Observed, Observation: o})
}

// advance moves the clock forward by d in steps of 100 ms. In each step all engines
// report and execute their orders.
func (s *simulation) advance(d dragonflyduration.Duration) {
	for range int(d / (100 * dragonflyduration.Millisecond)) {
		s.now = s.now.Add(100 * dragonflyduration.Millisecond)
		for _, e := range s.engines {
			s.report(e)
		}
		s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Tick})
		for i, e := range s.engines {
			if s.reverse {
				e = s.engines[len(s.engines)-1-i]
			}
			s.execute(e, s.fleet.Order(e.obs.Address))
		}
		for _, e := range s.engines {
			s.age(e, 100*dragonflyduration.Millisecond)
		}
	}
}

func (s *simulation) report(e *engine) {
	if !e.unreachable && !e.paused && !e.agentGone {
		e.polled = e.obs.Group
	}
	if e.cut {
		return
	}
	local := e.obs
	local.ID, local.State = "", dragonflyobservation.Unknown
	switch {
	case e.unreachable:
		local = dragonflyobservation.Observation{Address: e.obs.Address, State: dragonflyobservation.Unreachable, Refused: !e.dark, Group: e.polled}
	case e.paused:
		local = dragonflyobservation.Observation{Address: e.obs.Address, State: dragonflyobservation.Silent}
	case !e.beatsLost:
		e.obs.Sequence++
		s.observe(e.obs)
	}
	if e.agentGone {
		return
	}
	if e.starved && !e.unreachable && !e.paused {
		local = dragonflyobservation.Observation{Address: e.obs.Address, State: dragonflyobservation.Unreachable}
	}
	if e.reporter != 0 {
		e.reports++
		local.Reporter, local.Sequence = e.reporter, e.reports
		e.history = append(e.history, local)
	}
	s.observe(local)
}

func (s *simulation) execute(e *engine, o dragonflyserverorder.Order) {
	for len(e.late) > 0 && !e.unreachable && !e.paused && s.now >= e.late[0].at {
		l := e.late[0]
		if e.late = e.late[1:]; l.expected == e.obs.Orders {
			s.accept(e, l.order)
		}
	}
	if e.unreachable || e.paused || e.cut || e.agentGone || o.Kind == 0 || !e.oldAgent && o.HasExpected && o.Expected != e.obs.Orders {
		return
	}
	if e.slowOrders {
		if len(e.late) == 0 {
			delay := dragonflyduration.Duration(2+(len(e.obs.ID)+int(o.Epoch)+int(e.obs.Orders))%11) * second
			e.late = append(e.late, lateOrder{at: s.now.Add(delay), expected: e.obs.Orders, order: o})
		}
		return
	}
	s.accept(e, o)
}

// accept carries out the order o, unless its fence is older than that of an earlier one.
func (s *simulation) accept(e *engine, o dragonflyserverorder.Order) {
	if o.Fence < e.fence {
		return
	}
	e.fence = o.Fence
	if o.Kind == dragonflyserverorder.Join && o.Epoch < e.epoch {
		e.obs.RefusedEpoch = o.Epoch
		return
	}
	e.obs.Orders++
	if s.carryOut != nil && s.carryOut(e, o) {
		return
	}
	switch o.Kind {
	case dragonflyserverorder.Join:
		s.checkJoin(e, o)
		e.epoch, e.obs.RefusedEpoch = o.Epoch, 0
		for rank, id := range o.Members {
			if id == e.obs.ID {
				e.obs.Group = dragonflyenginegroup.Group{Name: o.Group, Epoch: o.Epoch, Rank: rank, State: dragonflyenginegroup.Ready}
				e.obs.Model = o.Model
			}
		}
		if e.loading {
			e.obs.Group.State = dragonflyenginegroup.Joining
		}
	case dragonflyserverorder.Open:
		if !e.slowToOpen {
			e.obs.Group.State = dragonflyenginegroup.Open
		}
	case dragonflyserverorder.Close:
		e.obs.Group.State = dragonflyenginegroup.Ready
	case dragonflyserverorder.Leave:
		e.former = e.obs.Group
		e.obs.Group, e.obs.Model = dragonflyenginegroup.Group{}, ""
	case dragonflyserverorder.Stage:
		e.obs.Staged = []string{o.Model}
	}
}

func (s *simulation) rows() []dragonflyendpoint.Endpoint {
	return s.fleet.WithTable(dragonflyfollowresponse.Response{}, 0, 0).Endpoints
}

// ask reports that the entry has the present routing table and streams at the given
// upstreams that it lacks.
func (s *simulation) ask(entry string, dropped ...string) {
	n := s.fleet.WithTable(dragonflyfollowresponse.Response{}, 0, 0)
	s.step(dragonflyfleetevent.Event{
		Kind: dragonflyfleetevent.EntryConnected, Process: entry, EntryTerm: n.Term, Revision: n.Revision, Dropped: dropped,
	})
}

// servingHeads returns the ids of the upstreams that take requests.
func (s *simulation) servingHeads() (ids []string) {
	for _, r := range s.rows() {
		if !r.Leaving {
			ids = append(ids, r.ID)
		}
	}
	return ids
}

// firstHead returns the head in the first row of the routing table.
func (s *simulation) firstHead() *engine {
	for _, e := range s.engines {
		if e.obs.ID == s.rows()[0].ID {
			return e
		}
	}
	return nil
}

// otherMember returns a member of the head's group other than the head.
func (s *simulation) otherMember(head *engine) *engine {
	for _, e := range s.engines {
		if e != head && e.obs.Group.Is(head.obs.Group.Name, head.obs.Group.Epoch) {
			return e
		}
	}
	return nil
}

// takeAway stops the reports of the last member of the group, and returns it and the others.
func (s *simulation) takeAway(g dragonflyenginegroup.Group) (members []*engine, away *engine) {
	rest := s.engines
	s.engines = nil
	for _, e := range rest {
		switch {
		case e.obs.Group.Is(g.Name, g.Epoch) && e.obs.Group.Rank == 2:
			away = e
			continue
		case e.obs.Group.Is(g.Name, g.Epoch):
			members = append(members, e)
		}
		s.engines = append(s.engines, e)
	}
	return members, away
}

// drainingMembers returns the number of draining members of the head's group.
func (s *simulation) drainingMembers(head *engine) (n int) {
	for _, e := range s.engines {
		if e.obs.Group.Is(head.obs.Group.Name, head.obs.Group.Epoch) && e.obs.State == dragonflyobservation.Draining {
			n++
		}
	}
	return n
}

// assertGroupsIntact checks that each open head has all 3 members in its group, all
// in its own domain, so that no engine is in two groups.
func assertGroupsIntact(s *simulation) {
	for _, e := range s.engines {
		if e.unreachable || e.obs.Group.State != dragonflyenginegroup.Open {
			continue
		}
		members := 0
		for _, m := range s.engines {
			if !m.unreachable && m.obs.Group.Is(e.obs.Group.Name, e.obs.Group.Epoch) {
				members++
				So(m.obs.Domain, ShouldEqual, e.obs.Domain)
			}
		}
		So(members, ShouldEqual, 3)
	}
}
