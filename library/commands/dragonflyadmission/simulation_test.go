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

// simulation is an admission core and a simulated upstream, in steps of 10 ms. With
// n requests running, the gap between tokens is base plus slope times n. A cold
// upstream that runs more than its cold limit is ten times slower.
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
	s := &simulation{rng: rand.New(rand.NewSource(1)), now: 10_000_000_000, base: 10 * ms, slope: ms, coldLimit: 2, tokens: 40,
		works: map[uint64]dragonflywork.Work{}, started: map[string]int{}, refused: map[string]int{}, decisions: map[uint64]int{}}
	s.cond = dragonflyconditions.Conditions{
		Announcement: dragonflyannouncement.Announcement{Kind: dragonflyannouncement.Engine, State: dragonflyannouncement.Ready, ColdLimit: 2, Zone: "zona-a"},
		Alive:        true, Gate: dragonflygate.Gate{Group: 7, Fence: 6, ValidUntil: 1 << 60}, ConfirmedAt: 1 << 60,
		Config: dragonflyconfig.Config{}.WithClass(dragonflyclass.Class{}.WithName("live").WithPriority(0)).
			WithClass(dragonflyclass.Class{}.WithName("batch").WithPriority(5)),
	}
	s.change(func(*dragonflyconditions.Conditions) {})
	return s
}

func (s *simulation) change(f func(c *dragonflyconditions.Conditions)) {
	f(&s.cond)
	s.step(dragonflyadmissionevent.Event{Kind: dragonflyadmissionevent.ConditionsChanged, Conditions: s.cond})
}

func (s *simulation) takeZoneOut() {
	s.change(func(c *dragonflyconditions.Conditions) {
		c.Config = c.Config.WithZone(dragonflyzone.Zone{}.WithName("zona-a").WithOut(true))
	})
}

func work(class, workspace string) dragonflywork.Work {
	return dragonflywork.Work{Kind: dragonflywork.Completion, Group: 7, Fence: 6, Class: class, Workspace: workspace,
		FirstToken: 410 * ms, Gap: 25 * ms, ConfirmationAge: 60 * dragonflyduration.Second}
}

// offer submits w and returns its id.
func (s *simulation) offer(w dragonflywork.Work) uint64 {
	s.next++
	s.works[s.next] = w
	s.step(dragonflyadmissionevent.Event{Kind: dragonflyadmissionevent.Offered, ID: s.next, Work: w})
	return s.next
}

func (s *simulation) step(ev dragonflyadmissionevent.Event) (acts []dragonflyadmissionaction.Action) {
	s.core, acts = s.core.Step(s.now, ev)
	for _, a := range acts {
		switch a.Kind {
		case dragonflyadmissionaction.Start:
			s.decisions[a.ID]++
			s.started[s.works[a.ID].Workspace]++
			s.jobs = append(s.jobs, &job{id: a.ID, from: s.now, last: s.now, reported: s.now, due: s.now.Add(5 * s.gap(len(s.jobs)+1)), remaining: s.tokens})
			s.peak = max(s.peak, len(s.jobs))
		case dragonflyadmissionaction.Refuse:
			s.decisions[a.ID]++
			s.refused[a.Reason]++
		}
	}
	return acts
}

func (s *simulation) gap(n int) dragonflyduration.Duration {
	g := s.base + dragonflyduration.Duration(n)*s.slope
	if s.cold && n > s.coldLimit {
		g *= 10
	}
	return g
}

// run advances the clock by d and calls each before every step of 10 ms.
func (s *simulation) run(d dragonflyduration.Duration, each func()) {
	for end := s.now.Add(d); s.now < end; s.now = s.now.Add(10 * ms) {
		if each != nil {
			each()
		}
		if s.now%dragonflyinstant.Instant(50*ms) == 0 {
			s.step(dragonflyadmissionevent.Event{Kind: dragonflyadmissionevent.Tick})
		}
		s.generate()
	}
}

// generate produces the tokens that are due and reports them as a worker does.
func (s *simulation) generate() {
	for _, j := range append([]*job(nil), s.jobs...) {
		for j.remaining > 0 && !s.stalled && j.due <= s.now {
			s.generateToken(j)
		}
		if j.remaining == 0 {
			s.finish(j)
		}
	}
}

func (s *simulation) generateToken(j *job) {
	at := j.due
	if j.remaining == s.tokens {
		s.step(dragonflyadmissionevent.Event{Kind: dragonflyadmissionevent.FirstToken, ID: j.id, Latency: at.Sub(j.from)})
		j.reported = at
	} else {
		s.measured++
		if at.Sub(j.last) > 25*ms {
			s.missed++
		}
		j.gaps++
	}
	if span := at.Sub(j.reported); j.gaps > 0 && (span >= 100*ms || j.remaining == 1) {
		s.step(dragonflyadmissionevent.Event{Kind: dragonflyadmissionevent.Progressed, ID: j.id, Tokens: j.gaps, Latency: span / dragonflyduration.Duration(j.gaps)})
		j.reported, j.gaps = at, 0
	}
	j.last, j.remaining = at, j.remaining-1
	j.due = at.Add(s.gap(len(s.jobs)))
}

func (s *simulation) finish(j *job) {
	for i, o := range s.jobs {
		if o == j {
			s.jobs = append(s.jobs[:i], s.jobs[i+1:]...)
			break
		}
	}
	s.step(dragonflyadmissionevent.Event{Kind: dragonflyadmissionevent.Finished, ID: j.id})
}
