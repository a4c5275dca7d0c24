// Package dragonflycontrolcore combines the consensus, the state machine and the
// directory of a control instance in a single-threaded core. Events pass between
// them in the same order as between the duties of the program, so that tests can
// run several control instances on a simulated clock.
package dragonflycontrolcore

import (
	"fmt"

	"dragonflyrelay.example/library/commands/dragonflycluster"
	"dragonflyrelay.example/library/commands/dragonflyconsensus"
	"dragonflyrelay.example/library/commands/dragonflydirectory"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/queries/dragonflyproposal"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyconsensusaction"
	"dragonflyrelay.example/library/values/dragonflyconsensusevent"
	"dragonflyrelay.example/library/values/dragonflycontrolaction"
	"dragonflyrelay.example/library/values/dragonflycontrolevent"
	"dragonflyrelay.example/library/values/dragonflydirectoryaction"
	"dragonflyrelay.example/library/values/dragonflydirectoryevent"
	"dragonflyrelay.example/library/values/dragonflyresult"
)

// Core is the state of one control instance. The zero value does nothing; use
// New.
type Core struct {
	consensus dragonflyconsensus.Consensus
	cluster   dragonflycluster.Cluster
	directory dragonflydirectory.Directory
	index     uint64
	confirmed dragonflyinstant.Instant
	proposals uint64
}

// New returns the core for the new or restored consensus state c.
func New(now dragonflyinstant.Instant, c dragonflyconsensus.Consensus) Core {
	s := step{Core: Core{consensus: c}, now: now}
	s.restore(dragonflyconsensusaction.Action{Snapshot: c.Snapshot()})
	return s.Core
}

// Consensus returns the consensus state.
func (c Core) Consensus() dragonflyconsensus.Consensus { return c.consensus }

// Cluster returns the state after the last applied entry.
func (c Core) Cluster() dragonflycluster.Cluster { return c.cluster }

// Directory returns the directory of instances and groups.
func (c Core) Directory() dragonflydirectory.Directory { return c.directory }

// Index returns the index of the last applied log entry.
func (c Core) Index() uint64 { return c.index }

// Confirmed returns the instant before which all committed changes are applied,
// 0 if unknown.
func (c Core) Confirmed() dragonflyinstant.Instant { return c.confirmed }

// Step handles the event ev, which occurred at now, and returns the next state
// and the actions to carry out in order.
func (c Core) Step(now dragonflyinstant.Instant, ev dragonflycontrolevent.Event) (Core, []dragonflycontrolaction.Action) {
	s := step{Core: c, now: now, wall: ev.Wall}
	switch ev.Kind {
	case dragonflycontrolevent.Consensus:
		s.stepConsensus(ev.Consensus)
	case dragonflycontrolevent.Directory:
		s.stepDirectory(ev.Directory)
	}
	return s.Core, s.acts
}

// step is the mutable working state of one call of Step.
type step struct {
	Core
	now  dragonflyinstant.Instant
	wall int64 // wall-clock time in nanoseconds since 1970
	acts []dragonflycontrolaction.Action
}

// stepConsensus passes ev to the consensus and carries out the resulting actions.
func (s *step) stepConsensus(ev dragonflyconsensusevent.Event) {
	next, acts := s.consensus.Step(s.now, ev)
	s.consensus = next
	for _, a := range acts {
		s.execute(a)
	}
}

func (s *step) execute(a dragonflyconsensusaction.Action) {
	switch a.Kind {
	case dragonflyconsensusaction.Persist, dragonflyconsensusaction.Send:
		s.acts = append(s.acts, dragonflycontrolaction.Action{Kind: dragonflycontrolaction.Consensus, Consensus: a})
	case dragonflyconsensusaction.Apply:
		s.apply(a)
	case dragonflyconsensusaction.Restore:
		s.restore(a)
	case dragonflyconsensusaction.Confirm:
		s.confirmed = a.At
	case dragonflyconsensusaction.Refuse:
		s.answer(a.Request, dragonflyresult.Result{Outcome: dragonflyresult.NotRun}, a.Leader)
	case dragonflyconsensusaction.Abandon:
		s.answer(a.Request, dragonflyresult.Result{Outcome: dragonflyresult.Unavailable}, "")
	case dragonflyconsensusaction.Lead:
		s.stepDirectory(dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Led, Term: a.Term})
	case dragonflyconsensusaction.Follow:
		s.stepDirectory(dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Followed})
	}
}

func (s *step) answer(request uint64, r dragonflyresult.Result, leader string) {
	if request == 0 {
		return
	}
	s.acts = append(s.acts, dragonflycontrolaction.Action{
		Kind: dragonflycontrolaction.Answer, Request: request, Result: r, Leader: leader,
	})
}

func (s *step) apply(a dragonflyconsensusaction.Action) {
	version := s.cluster.Config().Version()
	next, r := s.cluster.Apply(a.Entry.Change)
	s.cluster, s.index = next, a.Entry.Index
	s.answer(a.Request, r, "")
	if k := a.Entry.Change.Kind; k == dragonflychange.FormGroup || k == dragonflychange.DissolveGroup {
		s.publishGroups()
	}
	if next.Config().Version() > version {
		s.publishConfig()
	}
}

func (s *step) restore(a dragonflyconsensusaction.Action) {
	s.cluster, s.index = dragonflycluster.FromState(a.Snapshot.State), a.Snapshot.Index
	s.publishGroups()
	s.publishConfig()
}

func (s *step) publishGroups() {
	s.stepDirectory(dragonflydirectoryevent.Event{
		Kind: dragonflydirectoryevent.Groups, Groups: s.cluster.Groups(), Index: s.index, Fence: s.cluster.LastFence(),
	})
}

func (s *step) publishConfig() {
	s.stepDirectory(dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Configured, Config: s.cluster.Config()})
}

// stepDirectory passes ev to the directory and proposes the changes that it
// requests.
func (s *step) stepDirectory(ev dragonflydirectoryevent.Event) {
	next, acts := s.directory.Step(s.now, ev)
	s.directory = next
	for _, a := range acts {
		s.propose(a)
	}
}

// propose proposes the change requested by a, with an id that is unique across
// instances, terms and proposals.
func (s *step) propose(a dragonflydirectoryaction.Action) {
	s.proposals++
	ch := dragonflyproposal.FromAction(a)
	ch.ID = fmt.Sprintf("%s-%d-%d", s.consensus.Self(), s.consensus.Term(), s.proposals)
	ch.At = s.wall
	s.stepConsensus(dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Propose, Change: ch})
}
