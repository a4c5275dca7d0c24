package dragonflyfleet_test

import (
	"fmt"
	"slices"
	"strings"

	"dragonflyrelay.example/library/commands/dragonflydemandmeter"
	"dragonflyrelay.example/library/commands/dragonflyfleet"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflydemandevent"
	"dragonflyrelay.example/library/values/dragonflydocument"
	"dragonflyrelay.example/library/values/dragonflydocumentservice"
	"dragonflyrelay.example/library/values/dragonflyenginegroup"
	"dragonflyrelay.example/library/values/dragonflyengineprofile"
	"dragonflyrelay.example/library/values/dragonflyfleetevent"
	"dragonflyrelay.example/library/values/dragonflyfollowresponse"
	"dragonflyrelay.example/library/values/dragonflymodelprofile"
	"dragonflyrelay.example/library/values/dragonflyobservation"
	"dragonflyrelay.example/library/values/dragonflyserverorder"
	. "github.com/smartystreets/goconvey/convey"
)

const (
	tickTime  = 100 * dragonflyduration.Millisecond
	drainTime = 2 * second // until the streams of a closing head have ended
	slots     = 48
	entries   = 15
)

// kind is one kind of requests.
type requestKind struct {
	model  string
	rank   int
	tokens float64
	rate   float64 // requests a second
}

// demandLoad plays the load of a deployment of 81 engines against a fleet: entries measure
// and report it, groups have their slots in use in proportion, and what exceeds their
// capacity is refused.
type demandLoad struct {
	*simulation
	kinds []requestKind
	// capacity is the work, in tokens a second, that one group of a model serves.
	capacity map[string]float64
	meters   [entries]dragonflydemandmeter.Meter
	mute     bool                                 // entries do not report
	due      map[int]float64                      // requests due, by kind
	refusals map[string]float64                   // refused requests due, by model
	doneAt   map[*engine]dragonflyinstant.Instant // when the order in progress is carried out
	finish   map[*engine]func()
	ticks    int
	document dragonflydocument.Document
	refused  map[string]float64 // requests refused so far, by model
	arrived  map[string]float64
}

// usualLoad is the demand by model of a deployment whose small model is overloaded: six
// groups of it serve about 0.7 of the requests, and three of the large one use 0.3 of their
// slots.
func usualLoad() []requestKind {
	return []requestKind{
		{model: "large", rank: 1, tokens: 1460, rate: 14.7},
		{model: "small", rank: 0, tokens: 714, rate: 157},
		{model: "large", rank: 2, tokens: 2000, rate: 9.1},
	}
}

// balancedLoad is a demand that six small and three large groups serve.
func balancedLoad() []requestKind {
	kinds := usualLoad()
	kinds[0].rate, kinds[1].rate, kinds[2].rate = 40, 80, 20
	return kinds
}

func newDemandLoad(byDemand bool, kinds []requestKind) *demandLoad {
	l := &demandLoad{
		simulation: &simulation{now: 1}, kinds: kinds, capacity: map[string]float64{"large": 52_000, "small": 18_800},
		due: map[int]float64{}, refusals: map[string]float64{}, doneAt: map[*engine]dragonflyinstant.Instant{},
		finish: map[*engine]func(){}, refused: map[string]float64{}, arrived: map[string]float64{},
	}
	l.fleet = dragonflyfleet.Fleet{}.WithPlanByDemand(byDemand)
	l.carryOut = l.carryOutSlowly
	models := []dragonflymodelprofile.ModelProfile{
		{Name: "large", Size: 12, Share: 0.5, Pace: 1, Load: 16 * second, Warmup: 1600 * dragonflyduration.Millisecond},
		{Name: "small", Size: 6, Share: 0.5, Pace: 0.6, Load: 12 * second, Warmup: 1100 * dragonflyduration.Millisecond},
	}
	l.document = testDocument().
		WithService(dragonflydocumentservice.Service{Name: "llm", Engine: dragonflyengineprofile.EngineProfile{
			Slots: slots, Models: models, LoadsPerSecond: 3, LoadsAtOnce: 6,
		}})
	l.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.DocumentReceived, Document: l.document})
	l.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Led, Term: 1})
	for _, domain := range []string{"a", "b", "c"} {
		for i := range 27 {
			id := fmt.Sprintf("%s%02d", domain, i)
			l.engines = append(l.engines, &engine{obs: dragonflyobservation.Observation{
				ID: id, Boot: 1000, Service: "llm", Address: "addr-" + id, Zone: domain, Domain: domain,
				State: dragonflyobservation.Ready, Slots: slots,
			}})
		}
	}
	return l
}

// formed holds the loads that started copies, by whether the plan follows the demand: to
// form the groups takes as long as most tests.
var formed = map[bool]*demandLoad{}

// started returns a load whose groups have formed. The hosts of their engines hold the
// weights of the other model.
func started(byDemand bool, kinds []requestKind) *demandLoad {
	if formed[byDemand] == nil {
		formed[byDemand] = newDemandLoad(byDemand, nil)
		formed[byDemand].run(60 * second)
	}
	l := formed[byDemand].clone()
	for _, e := range l.engines {
		So(e.obs.Staged, ShouldHaveLength, 1)
		So(e.obs.Staged[0], ShouldNotEqual, e.obs.Model)
	}
	l.kinds = kinds
	return l
}

// clone returns a copy of l, whose engines carry out no order at present.
func (l *demandLoad) clone() *demandLoad {
	So(l.doneAt, ShouldBeEmpty)
	c, s := *l, *l.simulation
	c.simulation = &s
	c.engines = nil
	for _, e := range l.engines {
		copied := *e
		c.engines = append(c.engines, &copied)
	}
	c.withdrawals, c.opened, c.occurrences = slices.Clone(l.withdrawals), slices.Clone(l.opened), nil
	c.due, c.refusals, c.refused, c.arrived = map[int]float64{}, map[string]float64{}, map[string]float64{}, map[string]float64{}
	c.doneAt, c.finish = map[*engine]dragonflyinstant.Instant{}, map[*engine]func(){}
	c.carryOut = c.carryOutSlowly
	return &c
}

// carryOutSlowly carries out orders in the time that engines need for them.
func (l *demandLoad) carryOutSlowly(e *engine, o dragonflyserverorder.Order) bool {
	if o.Kind == dragonflyserverorder.Leave {
		delete(l.doneAt, e)
		e.obs.Busy = false
		return false
	}
	if _, busy := l.doneAt[e]; busy {
		return true // It is given again.
	}
	var delay dragonflyduration.Duration
	var finish func()
	m := map[string][2]dragonflyduration.Duration{"large": {16 * second, 1600 * dragonflyduration.Millisecond}, "small": {12 * second, 1100 * dragonflyduration.Millisecond}}[o.Model]
	switch o.Kind {
	case dragonflyserverorder.Join:
		delay = m[1]
		if !slices.Contains(e.obs.Staged, o.Model) && e.obs.Model != o.Model {
			delay = m[0]
		}
		e.obs.Model = o.Model
		e.obs.Group = dragonflyenginegroup.Group{Name: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, e.obs.ID), State: dragonflyenginegroup.Joining}
		finish = func() { e.obs.Group.State = dragonflyenginegroup.Ready }
	case dragonflyserverorder.Stage:
		delay, finish = m[0], func() { e.obs.Staged = []string{o.Model} }
	case dragonflyserverorder.Close:
		e.obs.Group.State = dragonflyenginegroup.Closing
		delay, finish = drainTime, func() { e.obs.Group.State = dragonflyenginegroup.Ready }
	default:
		return false
	}
	l.doneAt[e], l.finish[e], e.obs.Busy = l.now.Add(delay), finish, true
	return true
}

// run plays the load for d.
func (l *demandLoad) run(d dragonflyduration.Duration) {
	for range int(d / tickTime) {
		l.ticks++
		for _, e := range l.engines {
			if at, ok := l.doneAt[e]; ok && l.now >= at && !e.unreachable {
				l.finish[e]()
				e.obs.Busy = false
				delete(l.doneAt, e)
			}
		}
		l.playRequests()
		l.reportDemands()
		l.advance(tickTime)
	}
}

// playRequests lets the requests of one tick arrive, spread over the entries, and sets how
// many slots of the groups they use.
func (l *demandLoad) playRequests() {
	work := map[string]float64{}
	for _, k := range l.kinds {
		work[k.model] += k.rate * (k.tokens + 300)
	}
	groups := l.serving()
	use, refusedShare := map[string]float64{}, map[string]float64{}
	for model, w := range work {
		if room := l.capacity[model] * float64(groups[model]); w > room {
			use[model], refusedShare[model] = 1, 1-room/w
		} else {
			use[model] = w / room
		}
	}
	for _, e := range l.engines {
		if e.obs.Running = 0; e.obs.Group.State == dragonflyenginegroup.Open {
			e.obs.Running = int(use[e.obs.Model] * slots)
		}
	}
	for i, k := range l.kinds {
		for l.due[i] += k.rate * tickTime.Seconds(); l.due[i] >= 1; l.due[i]-- {
			l.playRequest(k, refusedShare[k.model], 0.3+0.35*use[k.model])
		}
	}
}

func (l *demandLoad) playRequest(k requestKind, refusedShare, delay float64) {
	l.arrived[k.model]++
	at := (int(l.arrived["large"]) + int(l.arrived["small"])) % entries
	ev := dragonflydemandevent.Event{Kind: dragonflydemandevent.Arrived, Service: "llm", Model: k.model, Rank: k.rank, Tokens: k.tokens}
	l.meters[at], _ = l.meters[at].Step(l.now, ev)
	ev.Kind, ev.Delay = dragonflydemandevent.Began, delay
	if l.refusals[k.model] += refusedShare; l.refusals[k.model] >= 1 {
		l.refusals[k.model]--
		l.refused[k.model]++
		ev.Kind, ev.Delay = dragonflydemandevent.Refused, 0
	}
	l.meters[at], _ = l.meters[at].Step(l.now, ev)
}

// reportDemands lets each entry report twice a second.
func (l *demandLoad) reportDemands() {
	for i := range l.meters {
		if l.mute || (l.ticks+i)%5 != 0 {
			continue
		}
		n := l.fleet.WithTable(dragonflyfollowresponse.Response{}, 0, 0)
		l.step(dragonflyfleetevent.Event{
			Kind: dragonflyfleetevent.EntryConnected, Process: fmt.Sprintf("e%02d", i), EntryTerm: n.Term, Revision: n.Revision,
			Demands: l.meters[i].Demands(l.now),
		})
	}
}

// serving returns the number of groups that take requests, by model.
func (l *demandLoad) serving() map[string]int {
	groups := map[string]int{}
	for _, r := range l.rows() {
		if !r.Leaving && r.Group != "" {
			groups[r.Model]++
		}
	}
	return groups
}

// details returns the details of the occurrences of the events, for messages of assertions.
func (l *demandLoad) details(events ...string) string {
	var all []string
	for _, o := range l.occurrences {
		if slices.Contains(events, o.Event) {
			all = append(all, o.Event+" "+o.Detail)
		}
	}
	return strings.Join(all, "\n")
}

func (l *demandLoad) clear() { l.occurrences = nil }

// lose takes n engines of the group away for good.
func (l *demandLoad) lose(group string, n int) {
	for _, e := range l.engines {
		if n > 0 && e.obs.Group.Name == group {
			e.unreachable = true
			n--
		}
	}
}

// groupsOf returns the names of the groups of the model that serve.
func (l *demandLoad) groupsOf(model string) (names []string) {
	for _, r := range l.rows() {
		if !r.Leaving && r.Model == model {
			names = append(names, r.Group)
		}
	}
	return names
}

// assertGroups asserts the number of serving groups, each within a domain.
func assertGroups(l *demandLoad, large, small int) {
	So(l.serving(), ShouldResemble, map[string]int{"large": large, "small": small})
	domains := map[string]string{}
	for _, e := range l.engines {
		if g := e.obs.Group; g.State == dragonflyenginegroup.Open || g.State == dragonflyenginegroup.Ready {
			if d, ok := domains[g.Name]; ok {
				So(e.obs.Domain, ShouldEqual, d)
			}
			domains[g.Name] = e.obs.Domain
		}
	}
}
