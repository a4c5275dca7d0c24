package dragonflyconsensus_test

import (
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyconsensus"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyconsensusevent"
	"dragonflyrelay.example/library/values/dragonflyconsensusmessage"
	. "github.com/smartystreets/goconvey/convey"
)

// TestHandover guards against a planned stop of the leader that costs an election timeout
// because the instance that is asked to lead has just started.
func TestHandover(t *testing.T) {
	handover := dragonflyconsensusmessage.Message{Kind: dragonflyconsensusmessage.Handover, Term: 3}
	Convey("An instance that has just started and knows no leader starts an election", t, func() {
		_, acts := stepThrough(restored(3, 1, 2, 3), handover)
		So(sent(dragonflyconsensusmessage.Vote, acts), ShouldNotBeEmpty)
		So(sent(dragonflyconsensusmessage.Vote, acts)[0].Term, ShouldEqual, 4)
	})
	Convey("One that follows another leader, or has seen a later term, does not", t, func() {
		other := dragonflyconsensusmessage.Message{Kind: dragonflyconsensusmessage.Append, From: "c", Term: 3, Index: 3, LogTerm: 3}
		_, acts := stepThrough(restored(3, 1, 2, 3), other, handover)
		So(sent(dragonflyconsensusmessage.Vote, acts), ShouldBeEmpty)
		_, acts = stepThrough(restored(4, 1, 2, 3), handover)
		So(sent(dragonflyconsensusmessage.Vote, acts), ShouldBeEmpty)
	})
	Convey("One that asks for pre-votes starts an election at once", t, func() {
		_, acts := stepThrough(askingForPreVotes(), handover)
		So(sent(dragonflyconsensusmessage.Vote, acts), ShouldNotBeEmpty)
	})
}

// TestLateHandover guards against an election that interrupts a leader in contact with all
// members, because an instance acts on a request to succeed it that it received earlier.
func TestLateHandover(t *testing.T) {
	votesAfter := func(d dragonflyduration.Duration) []dragonflyconsensusmessage.Message {
		c, acts := stepThrough(restored(3, 1, 2), dragonflyconsensusmessage.Message{
			Kind: dragonflyconsensusmessage.Append, Term: 3, Index: 2, LogTerm: 2, Entries: entries(3, 3),
		}, dragonflyconsensusmessage.Message{Kind: dragonflyconsensusmessage.Handover, Term: 3})
		_, acts = c.Step(dragonflyinstant.Instant(d), syncedTo(lastSequence(acts)))
		return sent(dragonflyconsensusmessage.Vote, acts)
	}
	Convey("One whose writes are synced within the handover timeout starts an election", t, func() {
		So(votesAfter(dragonflyconsensus.MaxElectionTimeout/2), ShouldNotBeEmpty)
	})
	Convey("One whose writes are synced later does not", t, func() {
		So(votesAfter(2*dragonflyconsensus.MaxElectionTimeout), ShouldBeEmpty)
	})
}

// askingForPreVotes returns instance a as it asks for pre-votes in the term after 3.
func askingForPreVotes() dragonflyconsensus.Consensus {
	c, _ := restored(3, 1, 2, 3).Step(1, dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Tick})
	c, acts := c.Step(1e12, dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Tick})
	So(sent(dragonflyconsensusmessage.PreVote, acts), ShouldNotBeEmpty)
	return c
}

// TestHandoverBesideSilentMember guards against a leader that resigns and hands over to a member
// that is not in contact, although another one is.
func TestHandoverBesideSilentMember(t *testing.T) {
	Convey("The member in contact leads", t, func() {
		s := newSimulationWithMemberChanges()
		old := s.leader()
		silent := otherThan(s, old)
		s.isolated[silent] = true
		s.settle(12)
		s.step(old, dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Resign})
		s.settle(4)
		So(s.leader(), ShouldNotEqual, silent)
		So(s.leader(), ShouldNotEqual, old)
	})
}
