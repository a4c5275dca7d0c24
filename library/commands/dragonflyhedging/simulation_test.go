package dragonflyhedging_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"strconv"

	"dragonflyrelay.example/library/commands/dragonflybalance"
	"dragonflyrelay.example/library/commands/dragonflyhedging"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflybalanceevent"
	"dragonflyrelay.example/library/values/dragonflychoice"
	"dragonflyrelay.example/library/values/dragonflydocument"
	"dragonflyrelay.example/library/values/dragonflydocumentservice"
	"dragonflyrelay.example/library/values/dragonflyendpoint"
	"dragonflyrelay.example/library/values/dragonflyengineprofile"
	"dragonflyrelay.example/library/values/dragonflymodelprofile"
	"dragonflyrelay.example/library/values/dragonflyretrylimits"
)

const (
	millisecond = dragonflyduration.Millisecond
	second      = dragonflyduration.Second
)

// load is a load on the upstreams of one service, which one entry sends. The zero values of
// model and stream stand for a plain service.
type load struct {
	model     string
	upstreams int
	slots     int
	rate      float64                                            // requests a second
	time      dragonflyduration.Duration                         // to the answer or the first event of a usual upstream
	factor    func(i int, at dragonflyduration.Duration) float64 // of the upstream i, by which its times are longer
	stream    dragonflyduration.Duration                         // from the first event to the last one
	objective dragonflyduration.Duration
	length    dragonflyduration.Duration
	share     float64
}

// outcome is what the callers of a load got, and what it cost.
type outcome struct {
	requests, refused, hedges, won int
	sorted                         []dragonflyduration.Duration // times to the answers or first events
	work                           dragonflyduration.Duration   // done by the upstreams
	hedgedAt                       []dragonflyduration.Duration
}

func (o outcome) quantile(q float64) dragonflyduration.Duration {
	return o.sorted[int(q*float64(len(o.sorted)-1))]
}

// request is one request of a simulation, with an attempt for each time it was sent.
type request struct {
	began    dragonflyinstant.Instant
	attempts []*attempt
	answered bool
}

type attempt struct {
	q         *request
	upstream  int
	startedAt dragonflyinstant.Instant // of the work, 0 while it waits for a slot
	cancelled bool
}

// simulation is the entry of a load with its upstreams.
type simulation struct {
	load
	random  *rand.Rand
	now     dragonflyinstant.Instant
	events  eventQueue
	balance dragonflybalance.Balance
	hedging dragonflyhedging.Hedging
	busy    []int
	waiting [][]*attempt
	outcome
}

const start = dragonflyinstant.Instant(second)

func run(l load) outcome {
	s := &simulation{load: l, random: rand.New(rand.NewPCG(1, 2)), now: start, hedging: dragonflyhedging.New(l.share)}
	s.busy, s.waiting = make([]int, l.upstreams), make([][]*attempt, l.upstreams)
	s.balance = dragonflybalance.New(dragonflyretrylimits.Limits{Ratio: 0.2, Extra: 20, Window: 10 * second})
	svc := dragonflydocumentservice.Service{Name: "s"}
	if l.model != "" {
		m := dragonflymodelprofile.ModelProfile{Name: l.model, Size: 6, Pace: 1}
		svc.Engine = dragonflyengineprofile.EngineProfile{Slots: l.slots, Models: []dragonflymodelprofile.ModelProfile{m},
			PrefillRate: 50_000, StepTime: 6 * millisecond, StepsPerPass: 6}
	}
	var table []dragonflyendpoint.Endpoint
	for i := range l.upstreams {
		e := dragonflyendpoint.Endpoint{ID: strconv.Itoa(i), Boot: 1, Service: "s", Model: l.model, Slots: l.slots}
		if l.model != "" {
			e.Group = "g" + e.ID
		}
		table = append(table, e)
	}
	s.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.DocumentReceived, Document: dragonflydocument.Document{}.WithService(svc), Entries: 1, Complete: true})
	s.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.TableReceived, Endpoints: table, Complete: true})
	s.after(0, s.arrive)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	slices.Sort(s.sorted)
	return s.outcome
}

func (s *simulation) step(ev dragonflybalanceevent.Event) (c dragonflychoice.Choice) {
	if reason := s.hedging.Refusal(s.now, ev); reason != "" {
		return dragonflychoice.Choice{Reason: reason}
	}
	s.balance, c = s.balance.Step(s.now, ev)
	s.hedging = s.hedging.Step(s.now, ev, c)
	return c
}

func (s *simulation) after(d dragonflyduration.Duration, do func()) {
	heap.Push(&s.events, event{at: s.now.Add(d), number: s.requests + len(s.events), do: do})
}

// arrive sends a request and plans its second sending and the next arrival.
func (s *simulation) arrive() {
	gap := dragonflyduration.Duration(s.random.ExpFloat64() / s.rate * float64(second))
	if s.now.Add(gap).Sub(start) < s.length {
		s.after(gap, s.arrive)
	}
	s.requests++
	c := s.step(s.chooseEvent())
	if !c.OK {
		s.refused++
		return
	}
	q := &request{began: s.now}
	s.send(q, c)
	if delay, ok := s.hedging.Delay(s.now, "s", s.model, s.objective); ok {
		s.after(delay, func() { s.hedge(q) })
	}
}

func (s *simulation) chooseEvent() dragonflybalanceevent.Event {
	ev := dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Choose, Service: "s", Model: s.model}
	if s.model != "" {
		ev.Tokens, ev.Limit = 700, s.objective*2/3
	}
	return ev
}

func (s *simulation) hedge(q *request) {
	if q.answered {
		return
	}
	ev := s.chooseEvent()
	ev.Retry, ev.Move, ev.Hedge, ev.RepeatedPrefill = true, true, true, s.model != ""
	ev.Exclude, ev.Waited, ev.Objective = []string{strconv.Itoa(q.attempts[0].upstream)}, s.now.Sub(q.began), s.objective
	if c := s.step(ev); c.OK {
		s.hedges++
		s.hedgedAt = append(s.hedgedAt, s.now.Sub(start))
		s.send(q, c)
	}
}

func (s *simulation) send(q *request, c dragonflychoice.Choice) {
	i, _ := strconv.Atoi(c.Endpoint.ID)
	a := &attempt{q: q, upstream: i}
	q.attempts = append(q.attempts, a)
	if s.busy[i] == s.slots {
		s.waiting[i] = append(s.waiting[i], a)
		return
	}
	s.begin(a)
}

// begin starts the work of a in a slot.
func (s *simulation) begin(a *attempt) {
	s.busy[a.upstream]++
	a.startedAt = s.now
	took := float64(s.time) * (0.75 + s.random.Float64()/2) * s.factor(a.upstream, s.now.Sub(start))
	s.after(dragonflyduration.Duration(took), func() {
		if !a.cancelled {
			s.answer(a)
		}
	})
}

// answer ends the wait of the caller and the other attempt.
func (s *simulation) answer(a *attempt) {
	q := a.q
	q.answered = true
	s.sorted = append(s.sorted, s.now.Sub(q.began))
	if a != q.attempts[0] {
		s.won++
	}
	ev := dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Ended, ID: strconv.Itoa(a.upstream), Tokens: s.chooseEvent().Tokens, Outcome: dragonflybalanceevent.Served}
	waited := s.now.Sub(q.began)
	if len(q.attempts) > 1 && a == q.attempts[1] {
		waited = s.now.Sub(a.startedAt)
	}
	if s.model == "" {
		ev.Service, ev.Waited = "s", waited
		s.end(a, ev)
	} else {
		ev.HadBegun = true
		s.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Began, ID: ev.ID, Tokens: ev.Tokens, Service: "s", Model: s.model, Limit: s.objective, Waited: waited})
		s.after(s.stream, func() { s.end(a, ev) })
	}
	for i, other := range q.attempts {
		if other == a {
			continue
		}
		other.cancelled = true
		ev := dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Ended, ID: strconv.Itoa(other.upstream), Tokens: ev.Tokens, Outcome: dragonflybalanceevent.Abandoned}
		if i == 0 {
			ev.Service, ev.Model, ev.Waited = "s", s.model, s.now.Sub(q.began)
		}
		s.end(other, ev)
	}
}

// end frees the slot of a, which may have waited for one only.
func (s *simulation) end(a *attempt, ev dragonflybalanceevent.Event) {
	i := a.upstream
	s.step(ev)
	if a.startedAt == 0 {
		s.waiting[i] = slices.DeleteFunc(s.waiting[i], func(w *attempt) bool { return w == a })
		return
	}
	s.work += s.now.Sub(a.startedAt)
	s.busy[i]--
	if len(s.waiting[i]) > 0 {
		next := s.waiting[i][0]
		s.waiting[i] = s.waiting[i][1:]
		s.begin(next)
	}
}

// event is something that happens at a time.
type event struct {
	at     dragonflyinstant.Instant
	number int
	do     func()
}

// eventQueue is a heap of events.
type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(e any) { *q = append(*q, e.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
