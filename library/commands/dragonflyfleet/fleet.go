// Package dragonflyfleet keeps what the leading control instance knows of the
// upstreams, and forms, closes and ends the groups of engines.
//
// The state is soft. A new leader learns all of it from the upstreams' reports;
// the epochs that it allots begin with its consensus term, so that they exceed
// those of every earlier leader without a write to the log.
package dragonflyfleet

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflydocument"
	"dragonflyrelay.example/library/values/dragonflyendpoint"
	"dragonflyrelay.example/library/values/dragonflyfleetevent"
	"dragonflyrelay.example/library/values/dragonflyobservation"
	"dragonflyrelay.example/library/values/dragonflyoccurrence"
)

// Times of the fleet.
const (
	// SilentAfter is how long an upstream may be silent before it gets no work.
	// It covers three heartbeats, one of which may be late.
	SilentAfter = 4 * dragonflyduration.Second
	// ForgetAfter is how long a silent upstream is remembered. A head that is
	// cut off from control may still serve, so its members are not used again
	// before that.
	ForgetAfter = 15 * dragonflyduration.Second
	// AgentSilentAfter is how old an agent's report may be for orders to its
	// engine to be expected to arrive.
	AgentSilentAfter = 2 * dragonflyduration.Second
	// CompleteAfter is how long a new leader waits before it takes an upstream
	// that has not reported for gone: two heartbeats and the search for the leader.
	CompleteAfter = 4 * dragonflyduration.Second
	// PlanAfter is how long a new leader waits before it forms groups, so that
	// the groups that exist have been reported.
	PlanAfter = 1500 * dragonflyduration.Millisecond
	// SettleAfter is how long no further upstream may have been found before the
	// first groups are formed, and PlanLatest when they are formed all the same.
	// Groups that are formed before all domains are known are badly spread.
	SettleAfter = 500 * dragonflyduration.Millisecond
	PlanLatest  = 4 * dragonflyduration.Second
	// DrainTime bounds how long a closing head may finish its requests; engines
	// wait no longer than 10 s for them.
	DrainTime = 12 * dragonflyduration.Second
	// formSlack is added to the expected time to form a group.
	formSlack = 6 * dragonflyduration.Second
)

// epochShift makes room for a million epochs in one consensus term.
const epochShift = 20

// maxRemembered bounds the ended groups and the departed upstreams remembered.
const maxRemembered = 1024

// record is what is known of one upstream.
type record struct {
	obs         dragonflyobservation.Observation
	beatAt      dragonflyinstant.Instant // latest heartbeat
	agentAt     dragonflyinstant.Instant // latest report of the agent beside it
	unreachable bool                     // by the agent on the same machine
	silent      bool                     // to that agent, though it is there
	silentAt    dragonflyinstant.Instant // latest report of the agent that it is silent
	stage       string                   // model that is to be staged
	warm        string                   // model of the latest group since the start
	standby     standby
}

// standby is a group of a single spare that never opens. It warms the spare up, so
// that it joins a real group of the model at once.
type standby struct {
	name  string
	epoch uint64
	model string
}

// standbyPrefix begins the names of the groups of single spares.
const standbyPrefix = "standby-"

func (r record) heard() dragonflyinstant.Instant { return max(r.beatAt, r.agentAt, r.silentAt) }

// phase is the stage of a group.
type phase uint8

const (
	forming phase = iota
	serving
	closing // the head finishes its requests
	ending  // the head is to leave at once
)

// group is one group that the leader looks after.
type group struct {
	name           string
	epoch          uint64
	service, model string
	members        []string // ids by rank
	phase          phase
	since          dragonflyinstant.Instant
	opened         bool // the head may have been told to open
}

func (g group) head() string { return g.members[0] }

// Fleet is the state. The zero Fleet follows another instance and knows nothing.
type Fleet struct {
	leads    bool
	term     uint64
	ledAt    dragonflyinstant.Instant
	document dragonflydocument.Document
	outZones dragonflymap.Map[string, bool]

	records   dragonflymap.Map[string, record] // by id
	addresses dragonflymap.Map[string, string] // address to id of its latest upstream
	departed  dragonflymap.Map[string, int64]  // id to boot of upstreams that have left
	groups    dragonflymap.Map[string, group]  // by name
	ended     dragonflymap.Map[string, bool]   // names of groups whose head serves no more
	loads     []dragonflyinstant.Instant       // begins of recent weight loads
	traffic   bool                             // requests have been seen
	planning  bool                             // groups may be formed
	foundAt   dragonflyinstant.Instant         // when the latest upstream was found
	lastEpoch uint64
	shortages dragonflymap.Map[string, string] // by service, as last recorded

	endpoints []dragonflyendpoint.Endpoint
	revision  uint64
	changes   uint64                                             // rises with whatever may concern an asker
	entries   dragonflymap.Map[string, dragonflyinstant.Instant] // when each entry asked last
}

// Step decides on the event ev that happened at now. The occurrences tell what
// was decided and why.
func (f Fleet) Step(now dragonflyinstant.Instant, ev dragonflyfleetevent.Event) (Fleet, []dragonflyoccurrence.Occurrence) {
	s := step{Fleet: f, now: now}
	switch ev.Kind {
	case dragonflyfleetevent.Tick:
		s.tick()
	case dragonflyfleetevent.Observed:
		s.observe(ev.Observation)
	case dragonflyfleetevent.Led:
		s.lead(ev.Term)
	case dragonflyfleetevent.Followed:
		s.Fleet = Fleet{document: f.document, outZones: f.outZones, revision: f.revision, changes: f.changes + 1}
	case dragonflyfleetevent.DocumentReceived:
		s.document = ev.Document
		s.outZones = dragonflymap.Map[string, bool]{}
		for _, z := range ev.OutZones {
			s.outZones = s.outZones.With(z, true)
		}
		s.revision++
		s.changes++
	case dragonflyfleetevent.EntryConnected:
		s.entries = s.entries.With(ev.Process, s.now)
	}
	if s.leads {
		s.advanceGroups()
		if s.freed && s.planning {
			s.plan() // A repair need not wait for the next tick.
		}
		s.refreshEndpoints()
	}
	return s.Fleet, s.notes
}

// step is the working copy of one call of Step.
type step struct {
	Fleet
	now   dragonflyinstant.Instant
	notes []dragonflyoccurrence.Occurrence
	freed bool // a group has ended
}

// note records a decision on the upstream id or, if it is not "", the group.
func (s *step) note(event, id, group, detail string) {
	s.changes++
	o := dragonflyoccurrence.Occurrence{Event: event, Instance: id, Detail: detail}
	if group != "" {
		o.Detail = "group " + group + ": " + detail
	}
	if r, ok := s.records.Get(id); ok {
		o.Zone = r.obs.Zone
	}
	s.notes = append(s.notes, o)
}

func (s *step) lead(term uint64) {
	if s.leads && s.term == term {
		return
	}
	s.Fleet = Fleet{document: s.document, outZones: s.outZones, leads: true, term: term, ledAt: s.now, changes: s.changes + 1}
	s.lastEpoch = term << epochShift
}

func (s *step) tick() {
	if !s.leads {
		return
	}
	s.forget()
	for name, at := range s.entries.All() {
		if s.now.Sub(at) > SilentAfter {
			s.entries = s.entries.Without(name)
		}
	}
	led := s.now.Sub(s.ledAt)
	s.planning = led >= PlanAfter && (s.now.Sub(s.foundAt) >= SettleAfter || s.traffic || led >= PlanLatest)
	if s.planning {
		s.plan()
	}
}

// forget drops upstreams that have been silent for long.
func (s *step) forget() {
	for id, r := range s.records.All() {
		if s.now.Sub(r.heard()) > ForgetAfter {
			s.remove(id, "silent for "+seconds(ForgetAfter))
		}
	}
}

// remove drops the upstream id.
func (s *step) remove(id, reason string) {
	r, ok := s.records.Get(id)
	if !ok {
		return
	}
	s.note("upstream-removed", id, "", reason)
	s.records = s.records.Without(id)
	if at, _ := s.addresses.Get(r.obs.Address); at == id {
		s.addresses = s.addresses.Without(r.obs.Address)
	}
}

// usable reports whether the engine of r can be given orders and work.
func (s *step) usable(r record) bool {
	return !r.unreachable && !r.silent && !r.obs.Slow() && r.obs.State == dragonflyobservation.Ready &&
		s.now.Sub(r.agentAt) < AgentSilentAfter
}
