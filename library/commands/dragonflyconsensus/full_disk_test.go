package dragonflyconsensus_test

import (
	"testing"

	"dragonflyrelay.example/library/values/dragonflyconsensusevent"
	"dragonflyrelay.example/library/values/dragonflyconsensusmessage"
	. "github.com/smartystreets/goconvey/convey"
)

// TestFullDiskOfLeader guards against changes that are refused for an election timeout
// whenever the disk of the leader is full.
func TestFullDiskOfLeader(t *testing.T) {
	Convey("Given a leader whose disk is full", t, func() {
		s := newSimulation(3)
		s.settle(60)
		old := s.leader()
		s.full = old
		s.propose(old)

		Convey("another instance leads within 200 ms, and the leader gets the entries it lacks once it has room", func() {
			s.settle(4)
			So(s.leader(), ShouldNotBeEmpty)
			So(s.leader(), ShouldNotEqual, old)
			s.propose(s.leader())
			s.settle(2)
			So(s.acked["c2"], ShouldBeTrue)
			s.full = ""
			s.settle(20)
			assertSound(s)
		})
		Convey("another instance leads after an election timeout if the request is lost", func() {
			s.isolated[old] = true
			s.settle(2)
			So(s.leader(), ShouldBeEmpty)
			s.settle(40)
			So(s.leader(), ShouldNotBeEmpty)
			s.full = ""
			clear(s.isolated)
			s.settle(40)
			assertSound(s)
		})
	})
}

// TestHandoverDuringWrite guards against a handover that has no effect because the entry
// that the disk of the leader refused is still being written at the follower.
func TestHandoverDuringWrite(t *testing.T) {
	appended := dragonflyconsensusmessage.Message{Kind: dragonflyconsensusmessage.Append, Term: 3, Index: 1, LogTerm: 1, Entries: entries(2, 3)}
	handover := dragonflyconsensusmessage.Message{Kind: dragonflyconsensusmessage.Handover, Term: 3}

	Convey("A follower starts the election once its writes are synced", t, func() {
		c, acts := stepThrough(restored(3, 1), appended, handover)
		So(c.Term(), ShouldEqual, 3)
		c, acts = stepThrough(c, syncedTo(lastSequence(acts)))
		So(c.Term(), ShouldEqual, 4)
		So(len(sent(dragonflyconsensusmessage.Vote, acts)), ShouldEqual, 2)
	})
	Convey("A follower whose disk fails meanwhile starts none", t, func() {
		c, acts := stepThrough(restored(3, 1), appended, handover,
			dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.PersistFailed})
		c, _ = stepThrough(c, syncedTo(lastSequence(acts)))
		So(c.Term(), ShouldEqual, 3)
	})
	Convey("A follower that has a later leader meanwhile starts none", t, func() {
		next := dragonflyconsensusmessage.Message{Kind: dragonflyconsensusmessage.Append, From: "c", Term: 4, Index: 1, LogTerm: 1}
		c, acts := stepThrough(restored(3, 1), appended, handover, next)
		c, _ = stepThrough(c, syncedTo(lastSequence(acts)))
		So(c.Term(), ShouldEqual, 4)
		So(c.Leader(), ShouldEqual, "c")
	})
}
