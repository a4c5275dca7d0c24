package dragonflyadmission_test

import (
	"math/rand"

	"dragonflyrelay.example/library/commands/dragonflyadmission"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyadmissionaction"
	"dragonflyrelay.example/library/values/dragonflyadmissionevent"
	"dragonflyrelay.example/library/values/dragonflyannouncement"
	"dragonflyrelay.example/library/values/dragonflyclass"
	"dragonflyrelay.example/library/values/dragonflyconditions"
	"dragonflyrelay.example/library/values/dragonflyconfig"
	"dragonflyrelay.example/library/values/dragonflygate"
	"dragonflyrelay.example/library/values/dragonflywork"
	"dragonflyrelay.example/library/values/dragonflyzone"
)

const ms = dragonflyduration.Millisecond

// simulation is an upstream in front of which an admission core stands, in steps of
// 10 ms. With n requests running, the gap between tokens is base plus slope
// times n; a cold plant that runs more than it bears is tenfold slower.
type simulation struct {
	rng           *rand.Rand
	now           dragonflyinstant.Instant
	core          dragonflyadmission.Admission
	cond          dragonflyconditions.Conditions
	base, slope   dragonflyduration.Duration
	cold, stalled bool
	coldLimit     int
	tokens        int // per request

	next      uint64
	works     map[uint64]dragonflywork.Work
	jobs      []*job
	started   map[string]int // by workspace
	refused   map[string]int // by reason
	decisions map[uint64]int
	missed    int
	measured  int
	peak      int
}

type job struct {
	id        uint64
	from      dragonflyinstant.Instant
	last      dragonflyinstant.Instant
	reported  dragonflyinstant.Instant
	due       dragonflyinstant.Instant
	remaining int
	gaps      int
}

func newSimulation() *simulation {
	p := &simulation{rng: rand.New(rand.NewSource(1)), now: 10_000_000_000, base: 10 * ms, slope: ms, coldLimit: 2, tokens: 40,
		works: map[uint64]dragonflywork.Work{}, started: map[string]int{}, refused: map[string]int{}, decisions: map[uint64]int{}}
	p.cond = dragonflyconditions.Conditions{
		Announcement: dragonflyannouncement.Announcement{Kind: dragonflyannouncement.Engine, State: dragonflyannouncement.Ready, Bearable: 2, Zone: "zona-a"},
		Alive:        true, Gate: dragonflygate.Gate{Group: 7, Fence: 6, ValidUntil: 1 << 60}, ConfirmedAt: 1 << 60,
		Config: dragonflyconfig.Config{}.WithClass(dragonflyclass.Class{}.WithName("live").WithPriority(0)).
			WithClass(dragonflyclass.Class{}.WithName("batch").WithPriority(5)),
	}
	p.change(func(*dragonflyconditions.Conditions) {})
	return p
}

func (p *simulation) change(f func(c *dragonflyconditions.Conditions)) {
	f(&p.cond)
	p.step(dragonflyadmissionevent.Event{Kind: dragonflyadmissionevent.Changed, Conditions: p.cond})
}

func (p *simulation) takeZoneOut() {
	p.change(func(c *dragonflyconditions.Conditions) {
		c.Config = c.Config.WithZone(dragonflyzone.Zone{}.WithName("zona-a").WithOut(true))
	})
}

func work(class, workspace string) dragonflywork.Work {
	return dragonflywork.Work{Kind: dragonflywork.Completion, Group: 7, Fence: 6, Class: class, Workspace: workspace,
		FirstToken: 410 * ms, Gap: 25 * ms, ConfirmationAge: 60 * dragonflyduration.Second}
}

// offer hands w in and returns its id.
func (p *simulation) offer(w dragonflywork.Work) uint64 {
	p.next++
	p.works[p.next] = w
	p.step(dragonflyadmissionevent.Event{Kind: dragonflyadmissionevent.Offered, ID: p.next, Work: w})
	return p.next
}

func (p *simulation) step(ev dragonflyadmissionevent.Event) (acts []dragonflyadmissionaction.Action) {
	p.core, acts = p.core.Step(p.now, ev)
	for _, a := range acts {
		switch a.Kind {
		case dragonflyadmissionaction.Start:
			p.decisions[a.ID]++
			p.started[p.works[a.ID].Workspace]++
			p.jobs = append(p.jobs, &job{id: a.ID, from: p.now, last: p.now, reported: p.now, due: p.now.Add(5 * p.gap(len(p.jobs)+1)), remaining: p.tokens})
			p.peak = max(p.peak, len(p.jobs))
		case dragonflyadmissionaction.Refuse:
			p.decisions[a.ID]++
			p.refused[a.Reason]++
		}
	}
	return acts
}

func (p *simulation) gap(n int) dragonflyduration.Duration {
	g := p.base + dragonflyduration.Duration(n)*p.slope
	if p.cold && n > p.coldLimit {
		g *= 10
	}
	return g
}

// run lets d pass and calls each before every 10 ms.
func (p *simulation) run(d dragonflyduration.Duration, each func()) {
	for end := p.now.Add(d); p.now < end; p.now = p.now.Add(10 * ms) {
		if each != nil {
			each()
		}
		if p.now%dragonflyinstant.Instant(50*ms) == 0 {
			p.step(dragonflyadmissionevent.Event{Kind: dragonflyadmissionevent.Tick})
		}
		p.generate()
	}
}

// generate makes the tokens that are due, and reports them as a worker does.
func (p *simulation) generate() {
	for _, j := range append([]*job(nil), p.jobs...) {
		for j.remaining > 0 && !p.stalled && j.due <= p.now {
			p.generateToken(j)
		}
		if j.remaining == 0 {
			p.finish(j)
		}
	}
}

func (p *simulation) generateToken(j *job) {
	at := j.due
	if j.remaining == p.tokens {
		p.step(dragonflyadmissionevent.Event{Kind: dragonflyadmissionevent.FirstToken, ID: j.id, Latency: at.Sub(j.from)})
		j.reported = at
	} else {
		p.measured++
		if at.Sub(j.last) > 25*ms {
			p.missed++
		}
		j.gaps++
	}
	if span := at.Sub(j.reported); j.gaps > 0 && (span >= 100*ms || j.remaining == 1) {
		p.step(dragonflyadmissionevent.Event{Kind: dragonflyadmissionevent.Progressed, ID: j.id, Tokens: j.gaps, Latency: span / dragonflyduration.Duration(j.gaps)})
		j.reported, j.gaps = at, 0
	}
	j.last, j.remaining = at, j.remaining-1
	j.due = at.Add(p.gap(len(p.jobs)))
}

func (p *simulation) finish(j *job) {
	for i, o := range p.jobs {
		if o == j {
			p.jobs = append(p.jobs[:i], p.jobs[i+1:]...)
			break
		}
	}
	p.step(dragonflyadmissionevent.Event{Kind: dragonflyadmissionevent.Finished, ID: j.id})
}
