// Package dragonflyfleet tracks the upstreams on the leading control instance, and
// forms, closes and ends the groups of engines.
//
// The state is soft: a new leader rebuilds it from the reports of the upstreams.
// The high bits of an epoch are the consensus term, so that the epochs of a leader
// exceed those of every earlier leader without a write to the log.
package dragonflyfleet

import (
	"dragonflyrelay.example/library/commands/dragonflyepochcounter"
	"dragonflyrelay.example/library/commands/dragonflyleaving"
	"dragonflyrelay.example/library/commands/dragonflymodelshares"
	"dragonflyrelay.example/library/commands/dragonflyoverload"
	"dragonflyrelay.example/library/commands/dragonflyquarantine"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/queries/dragonflyplanstart"
	"dragonflyrelay.example/library/values/dragonflydocument"
	"dragonflyrelay.example/library/values/dragonflyendpoint"
	"dragonflyrelay.example/library/values/dragonflyfleetevent"
	"dragonflyrelay.example/library/values/dragonflyobservation"
	"dragonflyrelay.example/library/values/dragonflyoccurrence"
	"dragonflyrelay.example/library/values/dragonflyquarantinerecord"
	"dragonflyrelay.example/library/values/dragonflywithdrawal"
)

// Timeouts and delays of the fleet.
const (
	// SilentAfter is the time without a report after which an upstream gets no
	// work. It covers three heartbeats, one of which may be late.
	SilentAfter = 4 * dragonflyduration.Second
	// RemoveAfter is the time without a report after which an upstream that is in no
	// group is removed, and after which a member of a group counts as lost.
	RemoveAfter = 15 * dragonflyduration.Second
	// AgentSilentAfter is the age of an agent's latest report at which orders to its
	// engine are no longer expected to arrive.
	AgentSilentAfter = 2 * dragonflyduration.Second
	// ReportWindow is the time that upstreams have to report to a new leader before
	// it treats them as gone: two heartbeats and the search for the leader.
	ReportWindow = 4 * dragonflyduration.Second
	// MinPlanDelay is the minimum time that a new leader waits before it forms
	// groups, so that existing groups are reported first.
	MinPlanDelay = dragonflyplanstart.MinDelay
	// SettleDelay is the time without a new upstream after which the first groups
	// are formed, and MaxPlanDelay the time after which they are formed in any case.
	// Groups that are formed before all domains have reported are badly spread.
	SettleDelay  = dragonflyplanstart.SettleDelay
	MaxPlanDelay = dragonflyplanstart.MaxDelay
	// DrainTimeout bounds the time in which a closing head finishes its requests.
	// Engines wait at most 10 s for them.
	DrainTimeout = 12 * dragonflyduration.Second
	// StreamEndTime is the time in which entries in touch end the streams of a head that
	// leaves and no longer listens, and in which the head notices it. Its members are not
	// reused earlier.
	StreamEndTime = dragonflyduration.Second
	// EntryForgottenAfter is the time without a request after which an entry counts as gone
	// once its streams have ended. One that is cut off from control may go on sending
	// requests to a head that leaves.
	EntryForgottenAfter = 30 * dragonflyduration.Second
	// EntryLease bounds the time for which an entry accepts keys without a confirmation by
	// control. One that has lost an earlier leader sends no requests after that.
	EntryLease = 10 * dragonflyduration.Second
	// StallTimeout is how long an upstream may be silent before its group is ended. A
	// sound engine may be silent for a second or so; callers leave a stream after two
	// seconds and more.
	StallTimeout = 2500 * dragonflyduration.Millisecond
	// formSlack is added to the expected time to form a group.
	formSlack = 6 * dragonflyduration.Second
	// planInterval is the longest time between two plans. A change that matters to a
	// plan causes one at the next tick; only the ages of reports and of loads change
	// without an event.
	planInterval = dragonflyduration.Second
)

// phase is the lifecycle phase of a group.
type phase uint8

const (
	forming phase = iota
	serving
	headLost // the head is not heard of and may serve
	closing  // the head finishes its requests in progress
	ending   // the head is ordered to leave at once
)

// group is one group that the leader manages.
type group struct {
	name           string
	epoch          uint64
	service, model string
	members        []string // upstream ids by rank
	phase          phase
	phaseSince     dragonflyinstant.Instant
	// mayBeOpen is set from the order to open on. It is also set for a group of an earlier
	// leader, which may have given that order.
	mayBeOpen bool
	// membersReady is whether all members report that they are ready in the group, as far as
	// this leader knows. Only then is the head ordered to open.
	membersReady bool
	readyAt      dragonflyinstant.Instant // since when, if it is set
	// droppedRevision is the revision of the first routing table without the head, 0 while
	// the head can be reached.
	droppedRevision uint64
	// withdrawn is set while the members are ordered to leave because the head cannot be.
	// brokenAt is when the head is broken without them, 0 while none has left.
	withdrawn bool
	brokenAt  dragonflyinstant.Instant
}

func (g group) head() string { return g.members[0] }

// Fleet is the state of the upstreams and their groups. The zero Fleet is that of
// a follower and is empty.
type Fleet struct {
	leads       bool
	term        uint64
	leaderSince dragonflyinstant.Instant
	steppedAt   dragonflyinstant.Instant // latest event
	// resumedAt is when this instance ran again after it had stood still, or last handled a report
	// that had waited for as long.
	resumedAt    dragonflyinstant.Instant
	lateLoggedAt dragonflyinstant.Instant   // latest occurrence of such a report
	stall        dragonflyduration.Duration // time after which a head that lacks a member is broken
	heartbeats   dragonflyduration.Duration // interval at which upstreams send heartbeats, 0 if not known
	document     dragonflydocument.Document
	outZones     dragonflymap.Map[string, bool]

	upstreams       dragonflymap.Map[string, upstream]                       // by upstream id
	addresses       dragonflymap.Map[string, string]                         // upstream id by address, the latest there
	leftBoots       dragonflymap.Map[string, leftBoot]                       // by id, of upstreams that have left
	leftCount       uint64                                                   // of all upstreams that have left
	silentBoots     dragonflymap.Map[string, leftBoot]                       // by id, of upstreams removed for their silence, which may go on
	reports         dragonflymap.Map[string, latestReport]                   // of agents, by address of the engine
	refusedHeads    dragonflymap.Map[string, refusedHead]                    // by group
	leaving         dragonflyleaving.Leaving                                 // upstreams that leave by their answers to entries
	pauses          dragonflymap.Map[string, pauses]                         // by entry
	groups          dragonflymap.Map[string, group]                          // by name
	memberOf        dragonflymap.Map[string, string]                         // name of the group of an upstream, by upstream id
	endedGroups     dragonflymap.Map[string, dragonflyinstant.Instant]       // when a group, by name, was ended: its head no longer serves
	loadStarts      []dragonflyinstant.Instant                               // start times of recent weight loads
	withdrawn       dragonflymap.Map[string, string]                         // group that an engine, by id, was last ordered to leave without its head, as recorded
	withdrawalsTerm uint64                                                   // term of the latest log entry that withdrawn includes
	dueWithdrawals  dragonflymap.Map[string, dragonflywithdrawal.Withdrawal] // by group, to be recorded before its members are ordered to leave
	opened          dragonflymap.Map[string, bool]                           // groups whose heads have opened, by name, as recorded
	dueOpenings     dragonflymap.Map[string, bool]                           // groups whose heads have opened, to be recorded
	hasTraffic      bool                                                     // requests have been seen
	complete        bool                                                     // AllReported held at the latest tick
	mayPlan         bool                                                     // groups may be formed
	coldStart       coldStart
	returns         publishedReturns
	planDue         bool // something that a plan depends on has changed
	plannedAt       dragonflyinstant.Instant
	lastFoundAt     dragonflyinstant.Instant // when the latest new upstream reported
	epochs          dragonflyepochcounter.EpochCounter
	shortages       dragonflymap.Map[string, string] // latest recorded shortage by service

	reservations dragonflymap.Map[string, reservation] // by engine id
	lossAt       dragonflyinstant.Instant              // latest loss of an upstream, 0 once its domain has had time to be reported

	byDemand bool                        // groups are planned by the observed demand
	shares   dragonflymodelshares.Shares // the demand, and the shares that follow from it

	limits         dragonflymap.Map[string, limit] // of upstreams, by id
	limitsRevision uint64
	limitsChanged  bool                           // since the latest revision
	admitsByRank   bool                           // the leader decides which requests for overloaded models are admitted
	overload       dragonflyoverload.Overload     // by the demands of entries
	quarantine     dragonflyquarantine.Quarantine // of requests and parts of prompts that crash servers, on each instance

	recorded   dragonflyquarantinerecord.Record // latest applied record of it
	recordRead bool                             // the log is applied up to the leader's term

	endpoints      []dragonflyendpoint.Endpoint
	revision       uint64
	changes        uint64                                             // count of changes that may alter the response to an entry
	orderChanges   []string                                           // addresses of engines whose order the latest event may have changed
	entriesAskedAt dragonflymap.Map[string, dragonflyinstant.Instant] // latest request of each entry
	entryTables    dragonflymap.Map[string, entryTable]               // by entry
	longestStream  dragonflyduration.Duration                         // time limit of streams that may be in progress
}

// Step handles the event ev that happened at now. The occurrences record each
// decision with its reason.
func (f Fleet) Step(now dragonflyinstant.Instant, ev dragonflyfleetevent.Event) (Fleet, []dragonflyoccurrence.Occurrence) {
	s := step{Fleet: f, now: now}
	s.orderChanges = nil
	s.noteStandstill()
	s.noteLateness(ev)
	switch ev.Kind {
	case dragonflyfleetevent.Tick:
		s.tick()
	case dragonflyfleetevent.Observed:
		s.observe(ev.Observation)
	case dragonflyfleetevent.Led:
		s.becomeLeader(ev.Term)
	case dragonflyfleetevent.Followed:
		s.Fleet = f.withoutReports()
		s.revision, s.quarantine = f.revision, f.quarantine.WithLead(false)
	case dragonflyfleetevent.DocumentReceived:
		s.document = ev.Document
		s.longestStream = max(s.longestStream, longestTimeout(ev.Document))
		s.outZones = dragonflymap.Map[string, bool]{}
		for _, z := range ev.OutZones {
			s.outZones = s.outZones.With(z, true)
		}
		s.revision++
		s.changes++
		s.changed = true
	case dragonflyfleetevent.WithdrawalsReceived:
		s.receiveWithdrawals(ev)
	case dragonflyfleetevent.EntryConnected:
		s.entriesAskedAt = s.entriesAskedAt.With(ev.Process, s.now)
		s.observeEntryTable(ev)
		s.observeContacts(ev.Contacts)
		s.observeEntry(ev)
		s.observeLimits(ev.Limits)
		s.observeLeaving(ev.Process, ev.Leaving)
		s.observePauses(ev.Process, ev.Pauses)
		s.observeDemands(ev.Process, ev.Demands)
		s.observeRanks(ev.Process, ev.Demands)
	}
	if s.leads {
		s.advanceTouched()
	}
	if s.leads && (s.changed || ev.Kind == dragonflyfleetevent.Tick) {
		s.advanceGroups()
		if s.groupEnded && s.mayPlan {
			s.plan() // Repairs the group without waiting for the next tick.
		}
		s.refreshEndpoints()
		s.publishReturns()
	}
	if ev.Kind == dragonflyfleetevent.Tick {
		s.decideQuarantine()
	}
	s.planDue = s.planDue || s.changed || s.touched != ""
	return s.Fleet, s.occurrences
}

// step is the working copy of one call of Step.
type step struct {
	Fleet
	now         dragonflyinstant.Instant
	occurrences []dragonflyoccurrence.Occurrence
	groupEnded  bool // a group has ended
	// touched is the id of the upstream whose status the event has changed, if that is all
	// that it has changed so far.
	touched string
	// changed reports whether something that orders, groups or the routing table
	// depend on has changed. Most reports repeat what is known, and their cost must
	// not grow with the number of upstreams.
	changed bool
}

// emit records an event of the upstream id and, unless it is "", of the group.
func (s *step) emit(event, id, group, detail string) {
	s.changed = true
	if group != "" {
		detail = "group " + group + ": " + detail
	}
	s.record(event, id, detail)
}

// record records an event of the upstream id on which neither orders nor groups depend.
func (s *step) record(event, id, detail string) {
	o := dragonflyoccurrence.Occurrence{Event: event, Instance: id, Detail: detail}
	if u, ok := s.upstreams.Get(id); ok {
		o.Zone = u.obs.Zone
	}
	s.occurrences = append(s.occurrences, o)
}

// withoutReports returns what an instance keeps when it begins or ceases to lead: its settings,
// what the log holds and the quarantine.
func (f Fleet) withoutReports() Fleet {
	return Fleet{
		document: f.document, outZones: f.outZones, changes: f.changes + 1, quarantine: f.quarantine, recorded: f.recorded,
		longestStream: f.longestStream, stall: f.stall, heartbeats: f.heartbeats, byDemand: f.byDemand, admitsByRank: f.admitsByRank,
		withdrawn: f.withdrawn, withdrawalsTerm: f.withdrawalsTerm, opened: f.opened,
	}
}

func (s *step) becomeLeader(term uint64) {
	if s.leads && s.term == term {
		return
	}
	s.Fleet = s.withoutReports()
	s.leads, s.term, s.leaderSince = true, term, s.now
	s.quarantine = s.quarantine.WithLead(true)
	s.epochs = s.epochs.WithTerm(term)
}

func (s *step) tick() {
	if !s.leads {
		return
	}
	s.noteComplete()
	s.removeSilent()
	s.removeReports()
	s.removeRefusedHeads()
	s.removeLimits()
	s.publishLimits()
	s.removeLeaving()
	s.removePauses()
	s.decideAdmissions()
	s.removeEntryTables()
	for name, at := range s.entriesAskedAt.All() {
		if s.silence(at) > SilentAfter {
			s.entriesAskedAt = s.entriesAskedAt.Without(name)
		}
	}
	s.decideStart()
	s.updateShares()
	s.settleLosses()
	if s.mayPlan && (s.planDue || s.changed || s.now.Sub(s.plannedAt) >= planInterval) {
		s.adopt() // Members of a group that is ended now are not free yet.
		s.plan()
	}
}

// removeSilent removes upstreams in no group that have not reported for RemoveAfter.
func (s *step) removeSilent() {
	for id, u := range s.upstreams.All() {
		if _, grouped := s.memberOf.Get(id); !grouped && s.silence(u.lastReportAt()) > RemoveAfter {
			s.remove(id, "silent for "+seconds(RemoveAfter)+", "+s.reportAges(u))
			s.noteSilentBoot(id, u.obs.Boot)
		}
	}
}

// remove deletes the upstream id, if there is one.
func (s *step) remove(id, reason string) {
	u, ok := s.upstreams.Get(id)
	if !ok {
		return
	}
	s.emit("upstream-removed", id, "", reason)
	s.upstreams = s.upstreams.Without(id)
	s.noteOrderChange(u.obs.Address)
	if at, _ := s.addresses.Get(u.obs.Address); at == id {
		s.addresses = s.addresses.Without(u.obs.Address)
	}
}

// usable reports whether the engine of u can take orders and requests.
func (s *step) usable(u upstream) bool {
	return !u.unreachable && !u.silent && !u.obs.Slow() && u.obs.State == dragonflyobservation.Ready &&
		dragonflyepochcounter.CanFollow(u.obs.Group.Epoch) &&
		s.now.Sub(u.agentReportAt) < AgentSilentAfter
}
