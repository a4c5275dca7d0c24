package dragonflyoverload_test

import (
	"fmt"
	"math/rand"
	"testing"

	"dragonflyrelay.example/library/commands/dragonflybalance"
	"dragonflyrelay.example/library/commands/dragonflyoverload"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflybalanceevent"
	"dragonflyrelay.example/library/values/dragonflyendpoint"
	"dragonflyrelay.example/library/values/dragonflymodeladmission"
	"dragonflyrelay.example/library/values/dragonflymodeldemand"
	"dragonflyrelay.example/library/values/dragonflyretrylimits"
	. "github.com/smartystreets/goconvey/convey"
)

const (
	ms       = dragonflyduration.Millisecond
	stepTime = 5 * ms
	// capacity is the work a second that the groups of the model do.
	capacity = 400_000.0
	// baseTime is the time to the first event without a queue, and leaveTime that after
	// which callers leave.
	baseTime  = 80 * ms
	leaveTime = 2000 * ms
)

// kind is a kind of request, with its share of the work.
type kind struct {
	rank      int
	share     float64
	tokens    func(r *rand.Rand) float64
	objective dragonflyduration.Duration
}

func around(n float64) func(r *rand.Rand) float64 {
	return func(r *rand.Rand) float64 { return n * (0.5 + r.Float64()) }
}

var twoRanks = []kind{
	{0, 0.6, around(714), 300 * ms},
	{1, 0.4, around(1500), 400 * ms},
}

// outcome is what the callers of one kind or workspace have got.
type outcome struct{ sent, served, worth float64 }

func (o outcome) rate() float64 { return o.served / o.sent }
func (o outcome) mean() float64 { return o.worth / o.sent }
func (o outcome) plus(p outcome) outcome {
	return outcome{o.sent + p.sent, o.served + p.served, o.worth + p.worth}
}

// request is an attempt of a caller at an entry.
type request struct {
	kind      int
	workspace string
	tokens    float64
	began     dragonflyduration.Duration // of the first attempt
	sent      dragonflyduration.Duration // of this one
	retry     bool
	entry     int
}

// play is one model whose groups serve in order of arrival, behind entries with unequal
// parts of the demand. Callers retry once after the Retry-After of the refusal.
type play struct {
	kinds       []kind
	parts       []float64 // of the demand, by entry
	coordinated bool
	// urgentAt are the entries that get all requests of rank 0 and none of rank 1, nil if all
	// entries get both.
	urgentAt map[int]bool
	seed     int64
	silent   int // this entry gets no decision and sends no demand after 2 s, -1 for none

	r         *rand.Rand
	balances  []dragonflybalance.Balance
	overload  dragonflyoverload.Overload
	queue     float64 // work
	events    map[int][]request
	retries   map[int][]request
	demands   []map[int]*dragonflymodeldemand.Demand
	delays    []map[int][2]float64
	byKind    []outcome
	byOwner   map[string]outcome
	large     []outcome // the largest tenth, by kind
	decisions []dragonflymodeladmission.Admission
}

func at(d dragonflyduration.Duration) dragonflyinstant.Instant {
	return dragonflyinstant.Instant(d) + 1
}

// run plays an overload by the factor over, from 2 to 7 s.
func (p *play) run(over float64) *play {
	p.r, p.events, p.retries, p.byOwner = rand.New(rand.NewSource(p.seed)), map[int][]request{}, map[int][]request{}, map[string]outcome{}
	p.byKind, p.large = make([]outcome, len(p.kinds)), make([]outcome, len(p.kinds))
	for i := range p.parts {
		b := dragonflybalance.New(dragonflyretrylimits.Limits{Ratio: 0.1, Extra: 100, Window: 10000 * ms}).WithSeed(uint64(i))
		b, _ = b.Step(at(0), dragonflybalanceevent.Event{Kind: dragonflybalanceevent.TableReceived, Complete: true, Endpoints: []dragonflyendpoint.Endpoint{
			{ID: "head", Boot: 1, Service: "llm", Model: "m", Slots: 1 << 20},
		}})
		p.balances = append(p.balances, b)
		p.demands, p.delays = append(p.demands, map[int]*dragonflymodeldemand.Demand{}), append(p.delays, map[int][2]float64{})
	}
	due := make([][]float64, len(p.parts))
	for i := range due {
		due[i] = make([]float64, len(p.kinds))
	}
	for step := 0; dragonflyduration.Duration(step)*stepTime < 11000*ms; step++ {
		now := dragonflyduration.Duration(step) * stepTime
		load := 0.7
		if now >= 2000*ms && now < 7000*ms {
			load = over
		}
		for e := range p.parts {
			for k, kind := range p.kinds {
				for due[e][k] += load * capacity * p.share(e, k) * stepTime.Seconds(); due[e][k] > 0; {
					q := request{kind: k, workspace: p.workspace(), tokens: kind.tokens(p.r), began: now, entry: e}
					due[e][k] -= q.tokens + dragonflymodeldemand.DecodeTokens
					p.arrive(now, q)
				}
			}
			// Entries report twice a second, each at another time.
			if (step+17*e)%100 == 0 {
				p.report(now, e)
			}
		}
		for _, q := range p.retries[step] {
			p.arrive(now, q)
		}
		for _, q := range p.events[step] {
			p.begin(now, q)
		}
		if step%20 == 0 {
			p.overload = p.overload.Corrected(at(now))
			p.decisions = append(p.decisions, p.overload.Admissions()...)
		}
		p.queue = max(p.queue-capacity*stepTime.Seconds(), 0)
	}
	return p
}

// share returns the share of the work that comes as requests of kind k to entry e.
func (p *play) share(e, k int) float64 {
	if p.urgentAt == nil {
		return p.parts[e] * p.kinds[k].share
	}
	if (p.kinds[k].rank == 0) != p.urgentAt[e] {
		return 0
	}
	sum := 0.0
	for i, part := range p.parts {
		if p.urgentAt[i] == p.urgentAt[e] {
			sum += part
		}
	}
	return p.kinds[k].share * p.parts[e] / sum
}

// workspace returns one of eight, of which "w0" sends two fifths of all requests.
func (p *play) workspace() string {
	if p.r.Float64() < 0.4 {
		return "w0"
	}
	return fmt.Sprint("w", 1+p.r.Intn(7))
}

func (p *play) step(now dragonflyduration.Duration, e int, ev dragonflybalanceevent.Event) (refused bool, after dragonflyduration.Duration) {
	next, c := p.balances[e].Step(at(now), ev)
	p.balances[e] = next
	return !c.OK, max(c.RetryAfter, 10*ms)
}

func (p *play) arrive(now dragonflyduration.Duration, q request) {
	k := p.kinds[q.kind]
	counts := now >= 2000*ms && now < 7000*ms
	if !q.retry && counts {
		p.count(q, func(o *outcome) { o.sent++ })
	}
	d := p.demands[q.entry][k.rank]
	if d == nil {
		d = &dragonflymodeldemand.Demand{Service: "llm", Model: "m", Rank: k.rank}
		p.demands[q.entry][k.rank] = d
	}
	work := q.tokens + dragonflymodeldemand.DecodeTokens
	d.Work += work
	q.sent = now
	refused, after := p.step(now, q.entry, dragonflybalanceevent.Event{
		Kind: dragonflybalanceevent.Choose, Service: "llm", Model: "m", Tokens: q.tokens, Rank: k.rank, Workspace: q.workspace,
	})
	if refused {
		d.Refused += work
		if !q.retry {
			q.retry = true
			q.entry = p.r.Intn(len(p.parts))
			due := int((now+after)/stepTime) + 1
			p.retries[due] = append(p.retries[due], q)
		}
		return
	}
	p.queue += work
	first := baseTime + dragonflyduration.FromUnits(p.queue/capacity, dragonflyduration.Second)
	p.events[int((now+first)/stepTime)+1] = append(p.events[int((now+first)/stepTime)+1], q)
}

// begin passes on the first event of q.
func (p *play) begin(now dragonflyduration.Duration, q request) {
	k := p.kinds[q.kind]
	took := now - q.sent
	p.step(now, q.entry, dragonflybalanceevent.Event{
		Kind: dragonflybalanceevent.Began, ID: "head", Tokens: q.tokens, Limit: k.objective, Waited: took,
	})
	p.step(now, q.entry, dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Ended, ID: "head", Outcome: dragonflybalanceevent.Served, HadBegun: true})
	sum := p.delays[q.entry][k.rank]
	p.delays[q.entry][k.rank] = [2]float64{sum[0] + float64(took)/float64(k.objective), sum[1] + 1}
	if q.began < 2000*ms || q.began >= 7000*ms || took > leaveTime {
		return
	}
	p.count(q, func(o *outcome) {
		o.served++
		o.worth += 0.25
		if now-q.began <= k.objective {
			o.worth += 0.75
		}
	})
}

func (p *play) count(q request, change func(o *outcome)) {
	change(&p.byKind[q.kind])
	o := p.byOwner[q.workspace]
	change(&o)
	p.byOwner[q.workspace] = o
	// Prompts are spread evenly from half to one and a half of the mean.
	if mean := []float64{714, 1500}[q.kind]; q.tokens > 1.4*mean {
		change(&p.large[q.kind])
	}
}

// report sends the demand of entry e to the leader and its decisions to the entry.
func (p *play) report(now dragonflyduration.Duration, e int) {
	if !p.coordinated || e == p.silent && now > 2000*ms {
		p.demands[e], p.delays[e] = map[int]*dragonflymodeldemand.Demand{}, map[int][2]float64{}
		return
	}
	var all []dragonflymodeldemand.Demand
	for rank := range 2 {
		d := p.demands[e][rank]
		if d == nil {
			continue
		}
		d.Work, d.Refused = d.Work*2, d.Refused*2
		if sum := p.delays[e][rank]; sum[1] > 0 {
			d.Delay = sum[0] / sum[1]
		}
		all = append(all, *d)
	}
	p.demands[e], p.delays[e] = map[int]*dragonflymodeldemand.Demand{}, map[int][2]float64{}
	p.overload = p.overload.WithDemands(at(now), fmt.Sprint("e", e), all)
	p.step(now, e, dragonflybalanceevent.Event{Kind: dragonflybalanceevent.AdmissionsReceived, Admissions: p.overload.Admissions()})
}

func (p *play) total() (sum outcome) {
	for _, o := range p.byKind {
		sum = sum.plus(o)
	}
	return sum
}

// unequal are the parts of the demand at six entries.
var unequal = []float64{0.08, 0.1, 0.14, 0.18, 0.22, 0.28}

// overloaded plays the same overload with four seeds and adds them up.
func overloaded(kinds []kind, coordinated bool, over float64) (sum *play) {
	for seed := range int64(4) {
		p := (&play{kinds: kinds, parts: unequal, coordinated: coordinated, silent: -1, seed: seed}).run(over)
		if sum == nil {
			sum = p
			continue
		}
		sum.decisions = append(sum.decisions, p.decisions...)
		for i := range p.byKind {
			sum.byKind[i], sum.large[i] = sum.byKind[i].plus(p.byKind[i]), sum.large[i].plus(p.large[i])
		}
		for name, o := range p.byOwner {
			sum.byOwner[name] = sum.byOwner[name].plus(o)
		}
	}
	return sum
}

// assertFair asserts that the outcomes keep the bounds of fairness.
func assertFair(p *play) {
	all := p.total().rate()
	for i, o := range p.byKind {
		So(o.rate(), ShouldBeGreaterThan, all/4)
		So(p.large[i].rate(), ShouldBeGreaterThan, o.rate()/2)
		if i > 0 {
			So(p.byKind[i-1].rate(), ShouldBeGreaterThanOrEqualTo, o.rate())
		}
	}
	for _, o := range p.byOwner {
		So(o.rate(), ShouldBeGreaterThan, all/4)
	}
}

// TestTwoRanks guards against entries that refuse the most urgent requests as often as
// others, and against decisions that serve callers worse as a whole.
func TestTwoRanks(t *testing.T) {
	for _, over := range []float64{1.25, 1.5, 2} {
		Convey(fmt.Sprintf("Six unequal entries under an overload of %g for 5 s serve callers better together", over), t, func() {
			alone, together := overloaded(twoRanks, false, over), overloaded(twoRanks, true, over)
			So(together.byKind[0].mean(), ShouldBeGreaterThan, alone.byKind[0].mean()*1.15)
			So(together.total().mean(), ShouldBeGreaterThan, alone.total().mean()*1.05)
			So(together.total().rate(), ShouldBeGreaterThan, alone.total().rate())
			assertFair(together)
			So(together.byOwner["w0"].rate(), ShouldBeLessThan, together.byOwner["w1"].rate())
		})
	}
	Convey("Entries that get only one of the ranks refuse the less urgent one together", t, func() {
		urgentAt := map[int]bool{1: true, 3: true, 5: true}
		alone := (&play{kinds: twoRanks, parts: unequal, silent: -1, urgentAt: urgentAt}).run(1.5)
		together := (&play{kinds: twoRanks, parts: unequal, silent: -1, urgentAt: urgentAt, coordinated: true}).run(1.5)
		So(together.byKind[0].mean(), ShouldBeGreaterThan, alone.byKind[0].mean()*1.15)
		So(together.total().mean(), ShouldBeGreaterThan, alone.total().mean())
		assertFair(together)
	})
	Convey("One entry without control decides alone after 2 s, and the others go on", t, func() {
		p := (&play{kinds: twoRanks, parts: unequal, coordinated: true, silent: 5}).run(1.5)
		assertFair(p)
		So(p.balances[5], ShouldNotBeNil)
	})
	Convey("Without an overload nothing is decided or refused", t, func() {
		p := overloaded(twoRanks, true, 0.75)
		So(p.decisions, ShouldBeEmpty)
		So(p.total().rate(), ShouldBeGreaterThan, 0.999)
	})
	Convey("After an overload nothing is decided any more", t, func() {
		p := overloaded(twoRanks, true, 1.5)
		So(len(p.decisions), ShouldBeGreaterThan, 0)
		So(p.overload.Admissions(), ShouldBeEmpty)
	})
}

// TestOneRank guards against a behaviour that differs from that of entries alone where all
// requests have the same rank.
func TestOneRank(t *testing.T) {
	Convey("With one rank the leader decides nothing", t, func() {
		kinds := []kind{twoRanks[0], {0, 0.4, around(1500), 400 * ms}}
		alone, together := overloaded(kinds, false, 1.5), overloaded(kinds, true, 1.5)
		So(together.decisions, ShouldBeEmpty)
		So(together.byKind, ShouldResemble, alone.byKind)
	})
}

// TestDemands guards against decisions by the demands of entries that are gone, and against
// ranks that get nothing.
func TestDemands(t *testing.T) {
	demands := func(refused float64) []dragonflymodeldemand.Demand {
		return []dragonflymodeldemand.Demand{
			{Service: "s", Model: "m", Rank: 0, Work: 600, Refused: refused * 600, Delay: 0.65},
			{Service: "s", Model: "m", Rank: 1, Work: 400, Refused: refused * 400, Delay: 0.65},
		}
	}
	var o dragonflyoverload.Overload
	decide := func(now dragonflyduration.Duration, refused float64) []dragonflymodeladmission.Admission {
		return o.WithDemands(at(now), "a", demands(refused)).WithDemands(at(now), "b", demands(refused)).Corrected(at(now)).Admissions()
	}
	Convey("The rest after the least shares goes to the ranks in order", t, func() {
		// Of 2000, 1400 are admitted: 420 as least shares, 948 more to rank 0, 32 to rank 1.
		all := decide(0, 0.3)
		So(all, ShouldHaveLength, 1)
		So(all[0].Rank, ShouldEqual, 1)
		So(all[0].Fraction, ShouldAlmostEqual, 0.25, 0.001)
		all = decide(0, 0.6)
		So(all[0].Rank, ShouldEqual, 0)
		So(all[0].Fraction, ShouldAlmostEqual, 0.12+(800-240)/1200.0, 0.001)
		So(decide(0, 0.005), ShouldBeEmpty)
	})
	Convey("The demand of an entry that does not report ends after 2 s", t, func() {
		o := o.WithDemands(at(0), "a", demands(0.3)).Corrected(at(0))
		So(o.Admissions(), ShouldHaveLength, 1)
		So(o.Corrected(at(1900*ms)).Admissions(), ShouldHaveLength, 1)
		So(o.Corrected(at(2100*ms)).Admissions(), ShouldBeEmpty)
	})
}
