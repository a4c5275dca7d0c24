package dragonflywaitingroom_test

import (
	"fmt"
	"math/rand"
	"slices"

	"dragonflyrelay.example/library/commands/dragonflywaitingroom"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/queries/dragonflypatience"
	"dragonflyrelay.example/library/values/dragonflyendpoint"
	"dragonflyrelay.example/library/values/dragonflymodelreturn"
	"dragonflyrelay.example/library/values/dragonflypathroute"
	"dragonflyrelay.example/library/values/dragonflywaitingevent"
	"dragonflyrelay.example/library/values/dragonflywaitingrequest"
	"dragonflyrelay.example/library/values/dragonflywaitingverdict"
	. "github.com/smartystreets/goconvey/convey"
)

const ms = dragonflyduration.Millisecond

// kind is a kind of request of the load.
type kind struct {
	name, model string
	rate        float64 // requests a second at this entry
	rank        int
	size        int64
	work        dragonflyduration.Duration
	route       dragonflypathroute.Route
	workspace   func(n int) string
}

// kinds are about 100 requests a second of several kinds.
var kinds = []kind{
	{"urgent", "small", 75, 0, 4 << 10, 3 * ms, dragonflypathroute.Route{Kind: dragonflypathroute.Streaming, Objective: 250 * ms, GapTarget: 200 * ms, Timeout: 6000 * ms}, ordinary},
	{"long", "large", 9, 1, 8 << 10, 8 * ms, dragonflypathroute.Route{Kind: dragonflypathroute.Streaming, Objective: 400 * ms, GapTarget: 300 * ms, Timeout: 8000 * ms}, ordinary},
	{"batch", "large", 6, 2, 12 << 10, 10 * ms, dragonflypathroute.Route{Kind: dragonflypathroute.Streaming, Objective: 800 * ms, GapTarget: 300 * ms, Timeout: 6000 * ms}, ordinary},
	{"call", "", 10, 2, 1 << 10, 100 * ms, dragonflypathroute.Route{Objective: 300 * ms, Timeout: 3000 * ms}, ordinary},
}

func ordinary(n int) string { return fmt.Sprintf("w%d", n%8) }

// service returns the name of the service that serves the requests of kind k.
func (k kind) service() string {
	if k.model == "" {
		return "calls"
	}
	return "llm"
}

// attempt is one attempt of a caller that waits.
type attempt struct {
	kind     int
	request  dragonflywaitingrequest.Request
	retry    bool
	arrival  dragonflyinstant.Instant
	deadline dragonflyinstant.Instant
}

// outcome counts what the callers of one kind have got.
type outcome struct {
	sent, served, lost, fresh int
	latest                    dragonflyduration.Duration   // of those served, from their first attempt
	refusedAfter              []dragonflyduration.Duration // their waits
	refusedAt                 []dragonflyduration.Duration
}

// load plays callers against one room without a network, in steps of 5 ms. Callers retry
// once, and leave when their patience ends.
type load struct {
	room       dragonflywaitingroom.Room
	kinds      []kind
	from, to   dragonflyduration.Duration // time of arrivals
	down, back dragonflyduration.Duration // the endpoints are gone in between
	// returns is the estimate of control at the given time, nil if it sends none.
	returns func(now dragonflyduration.Duration) dragonflyduration.Duration
	groups  int
	entries int

	sequence  uint64
	waiting   map[uint64]attempt
	retries   map[int][]attempt // by step
	got       map[string]*outcome
	byOwner   map[string]*outcome
	order     []attempt // as released after the return
	releases  []dragonflyduration.Duration
	releasedW map[string]dragonflyduration.Duration // work released by model in the first 100 ms
	mostBytes int64
	mostLen   int
	lens      []int // of the room, by step
	lastID    uint64
}

const stepTime = 5 * ms

func at(d dragonflyduration.Duration) dragonflyinstant.Instant {
	return dragonflyinstant.Instant(d) + 1
}

func (l *load) play() *load {
	l.waiting, l.retries, l.got, l.byOwner = map[uint64]attempt{}, map[int][]attempt{}, map[string]*outcome{}, map[string]*outcome{}
	l.releasedW = map[string]dragonflyduration.Duration{}
	r := rand.New(rand.NewSource(1))
	numbers, due := make([]int, len(l.kinds)), make([]float64, len(l.kinds))
	l.follow(0, true)
	for step := 0; dragonflyduration.Duration(step)*stepTime < l.to+9000*ms; step++ {
		now := dragonflyduration.Duration(step) * stepTime
		switch {
		case now == l.down, now == l.back:
			l.follow(now, true)
		case step%20 == 0:
			l.follow(now, false)
		}
		if next, ok := l.room.Next(); ok && next <= at(now) {
			l.step(now, dragonflywaitingevent.Event{Kind: dragonflywaitingevent.Ticked})
		}
		for _, a := range l.retries[step] {
			l.arrive(now, a)
		}
		for i, k := range l.kinds {
			if now < l.from || now >= l.to {
				continue
			}
			for due[i] += k.rate * stepTime.Seconds() * (0.5 + r.Float64()); due[i] >= 1; due[i]-- {
				numbers[i]++
				q := dragonflywaitingrequest.Request{
					Service: k.service(), Model: k.model, Workspace: k.workspace(numbers[i]), Rank: k.rank, Size: k.size, Work: k.work, Objective: k.route.Objective,
				}
				l.outcome(k.name, q.Workspace, func(o *outcome) { o.sent++ })
				l.arrive(now, attempt{kind: i, request: q, deadline: at(now).Add(k.route.Timeout), arrival: at(now)})
			}
		}
		for _, id := range l.ids() {
			a := l.waiting[id]
			if q := a.request; at(now) >= q.Began.Add(dragonflypatience.Of(l.kinds[a.kind].route, a.deadline.Sub(q.Began))) {
				delete(l.waiting, id)
				l.step(now, dragonflywaitingevent.Event{Kind: dragonflywaitingevent.Left, ID: id})
				l.outcome(l.kinds[a.kind].name, q.Workspace, func(o *outcome) { o.lost++ })
			}
		}
		l.lens = append(l.lens, l.room.Len())
		l.mostBytes, l.mostLen = max(l.mostBytes, l.room.Bytes()), max(l.mostLen, l.room.Len())
	}
	return l
}

func (l *load) ids() (ids []uint64) {
	for id := range l.waiting {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (l *load) isDown(now dragonflyduration.Duration) bool { return now >= l.down && now < l.back }

// follow passes on the state of control at now.
func (l *load) follow(now dragonflyduration.Duration, table bool) {
	l.sequence++
	ev := dragonflywaitingevent.Event{Kind: dragonflywaitingevent.Followed, Sequence: l.sequence, Ready: true, HasTable: table, Complete: true, Entries: max(l.entries, 1)}
	for range l.groups {
		if !l.isDown(now) {
			ev.Endpoints = append(ev.Endpoints,
				dragonflyendpoint.Endpoint{Service: "llm", Model: "small"}, dragonflyendpoint.Endpoint{Service: "llm", Model: "large"},
				dragonflyendpoint.Endpoint{Service: "calls", Slots: 6})
		}
	}
	if l.isDown(now) && l.returns != nil {
		for _, model := range []string{"small", "large"} {
			ev.Returns = append(ev.Returns, dragonflymodelreturn.Return{Service: "llm", Model: model, In: l.returns(now)})
		}
	}
	l.step(now, ev)
}

// arrive lets an attempt arrive. While endpoints are there it is served at once.
func (l *load) arrive(now dragonflyduration.Duration, a attempt) {
	k := l.kinds[a.kind]
	q := a.request
	l.lastID++
	q.ID, q.Began, q.Deadline, q.Sequence, q.Stale = l.lastID, at(now), a.deadline, l.sequence, true
	q.Until = q.Began.Add(dragonflypatience.Wait(k.route, a.deadline.Sub(q.Began)))
	a.request = q
	if !l.isDown(now) {
		l.serve(now, a, false)
		return
	}
	l.waiting[q.ID] = a
	l.step(now, dragonflywaitingevent.Event{Kind: dragonflywaitingevent.Arrived, Request: q})
}

func (l *load) serve(now dragonflyduration.Duration, a attempt, waited bool) {
	l.outcome(l.kinds[a.kind].name, a.request.Workspace, func(o *outcome) {
		o.served++
		o.latest = max(o.latest, at(now).Sub(a.arrival))
		if !waited {
			o.fresh++
		}
	})
	if waited {
		l.order, l.releases = append(l.order, a), append(l.releases, now)
		if now < l.back+100*ms {
			l.releasedW[a.request.Model] += a.request.Work
		}
	}
}

func (l *load) step(now dragonflyduration.Duration, ev dragonflywaitingevent.Event) {
	next, verdicts := l.room.Step(at(now), ev)
	l.room = next
	for _, v := range verdicts {
		a, ok := l.waiting[v.ID]
		So(ok, ShouldBeTrue)
		delete(l.waiting, v.ID)
		l.leave(now, a, v)
	}
}

func (l *load) leave(now dragonflyduration.Duration, a attempt, v dragonflywaitingverdict.Verdict) {
	if v.Released {
		So(l.isDown(now), ShouldBeFalse)
		l.serve(now, a, true)
		return
	}
	l.outcome(l.kinds[a.kind].name, a.request.Workspace, func(o *outcome) {
		o.refusedAfter, o.refusedAt = append(o.refusedAfter, at(now).Sub(a.request.Began)), append(o.refusedAt, now)
		if a.retry {
			o.lost++
		}
	})
	if a.retry {
		return
	}
	a.retry = true
	due := now + min(v.RetryAfter, a.deadline.Sub(at(now))/3)
	l.retries[int(due/stepTime)+1] = append(l.retries[int(due/stepTime)+1], a)
}

// outcome changes the outcomes of a kind of request and of a workspace.
func (l *load) outcome(kind, workspace string, change func(o *outcome)) {
	for key, m := range map[string]map[string]*outcome{kind: l.got, workspace: l.byOwner} {
		if m[key] == nil {
			m[key] = &outcome{}
		}
		change(m[key])
	}
}

// served returns the share of the requests of a kind that are served.
func (l *load) served(kind string) float64 {
	return float64(l.got[kind].served) / float64(l.got[kind].sent)
}
