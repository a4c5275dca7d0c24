package dragonflyconsensus_test

import (
	"testing"

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
}
