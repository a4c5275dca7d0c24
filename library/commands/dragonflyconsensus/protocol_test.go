package dragonflyconsensus_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyconsensus"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyconsensusaction"
	"dragonflyrelay.example/library/values/dragonflyconsensusevent"
	"dragonflyrelay.example/library/values/dragonflyconsensusmessage"
	"dragonflyrelay.example/library/values/dragonflylogentry"
	"dragonflyrelay.example/library/values/dragonflylogrecord"
	"dragonflyrelay.example/library/values/dragonflysnapshot"
	. "github.com/smartystreets/goconvey/convey"
)

var members = []string{"a", "b", "c"}

// entries returns entries of the given terms from index on.
func entries(index uint64, terms ...uint64) (es []dragonflylogentry.Entry) {
	for i, term := range terms {
		at := index + uint64(i)
		es = append(es, dragonflylogentry.Entry{
			Index: at, Term: term, Change: dragonflychange.Change{ID: fmt.Sprint(at, "/", term), Kind: dragonflychange.SetZone},
		})
	}
	return es
}

// restored returns instance a with a synced log of the given terms.
func restored(term uint64, terms ...uint64) dragonflyconsensus.Consensus {
	return dragonflyconsensus.New("a", members).Restored(dragonflysnapshot.Snapshot{}, []dragonflylogrecord.Record{
		{Term: term, Entries: entries(1, terms...)},
	})
}

// stepThrough passes evs to c, which is instance a, and returns all actions. Each
// of evs is an event or a message; a message without a sender is from b.
func stepThrough(c dragonflyconsensus.Consensus, evs ...any) (dragonflyconsensus.Consensus, []dragonflyconsensusaction.Action) {
	var all []dragonflyconsensusaction.Action
	for i, e := range evs {
		ev, ok := e.(dragonflyconsensusevent.Event)
		if m, isMessage := e.(dragonflyconsensusmessage.Message); isMessage {
			if m.From == "" {
				m.From = "b"
			}
			m.To = "a"
			ev, ok = dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Received, Message: m}, true
		}
		So(ok, ShouldBeTrue)
		next, acts := c.Step(dragonflyinstant.Instant(i+1), ev)
		c, all = next, append(all, acts...)
	}
	return c, all
}

// sent returns the messages of the given kind that acts send.
func sent[K comparable](kind K, acts []dragonflyconsensusaction.Action) (ms []dragonflyconsensusmessage.Message) {
	for _, a := range acts {
		if a.Kind == dragonflyconsensusaction.Send && any(a.Message.Kind) == any(kind) {
			ms = append(ms, a.Message)
		}
	}
	return ms
}

func syncedTo(sequence uint64) dragonflyconsensusevent.Event {
	return dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Persisted, Sequence: sequence}
}

func lastSequence(acts []dragonflyconsensusaction.Action) (sequence uint64) {
	for _, a := range acts {
		sequence = max(sequence, a.Sequence)
	}
	return sequence
}

// elected makes c the leader of the next term with the votes of b.
func elected(c dragonflyconsensus.Consensus) (dragonflyconsensus.Consensus, []dragonflyconsensusaction.Action) {
	term := c.Term() + 1
	c, _ = c.Step(1, dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Tick})
	c, _ = c.Step(1e12, dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Tick})
	c, acts := stepThrough(c, dragonflyconsensusmessage.Message{Kind: dragonflyconsensusmessage.PreVoteReply, Term: term, Granted: true})
	c, _ = stepThrough(c, syncedTo(lastSequence(acts)))
	So(c.Leading(), ShouldBeFalse)
	c, acts = stepThrough(c, dragonflyconsensusmessage.Message{Kind: dragonflyconsensusmessage.VoteReply, Term: term, Granted: true})
	So(c.Leading(), ShouldBeTrue)
	return c, acts
}

// assertCommitted asserts the commit index.
func assertCommitted(c dragonflyconsensus.Consensus, index uint64) {
	So(c.Commit(), ShouldEqual, index)
}

func TestProtocol(t *testing.T) {
	vote := dragonflyconsensusmessage.Message{Kind: dragonflyconsensusmessage.Vote, Term: 5, Index: 9, LogTerm: 4}

	Convey("A vote is sent only after it is synced, so that a restarted instance cannot vote twice", t, func() {
		c, acts := stepThrough(restored(4, 1), vote)
		So(sent(dragonflyconsensusmessage.VoteReply, acts), ShouldBeEmpty)
		c, acts = stepThrough(c, syncedTo(lastSequence(acts)))
		So(sent(dragonflyconsensusmessage.VoteReply, acts)[0].Granted, ShouldBeTrue)
		second := vote
		second.From = "c"
		_, acts = stepThrough(c, second)
		So(sent(dragonflyconsensusmessage.VoteReply, acts)[0].Granted, ShouldBeFalse)
	})
	Convey("A candidate whose last log entry has an earlier term gets no vote", t, func() {
		short := vote
		short.Index, short.LogTerm = 9, 3
		_, acts := stepThrough(restored(5, 1, 4), short)
		So(sent(dragonflyconsensusmessage.VoteReply, acts)[0].Granted, ShouldBeFalse)
	})
	Convey("A leader commits entries of earlier terms only together with one of its own term", t, func() {
		c, acts := elected(restored(2, 1, 2))
		c, _ = stepThrough(c, dragonflyconsensusmessage.Message{Kind: dragonflyconsensusmessage.AppendReply, Term: 3, Granted: true, Index: 2})
		assertCommitted(c, 0)
		c, _ = stepThrough(c, dragonflyconsensusmessage.Message{Kind: dragonflyconsensusmessage.AppendReply, Term: 3, Granted: true, Index: 3})
		assertCommitted(c, 0)
		c, _ = stepThrough(c, syncedTo(lastSequence(acts)))
		assertCommitted(c, 3)
	})
	Convey("A heartbeat commits no entry above the index at which the logs match", t, func() {
		c, _ := stepThrough(restored(3, 1, 2, 2), dragonflyconsensusmessage.Message{
			Kind: dragonflyconsensusmessage.Append, Term: 3, Index: 1, LogTerm: 1, Commit: 3,
		})
		assertCommitted(c, 1)
	})
	Convey("An entry that replaced a conflicting one counts as synced only after its own write", t, func() {
		c, acts := stepThrough(restored(2, 1), dragonflyconsensusmessage.Message{
			Kind: dragonflyconsensusmessage.Append, Term: 2, Index: 1, LogTerm: 1, Entries: entries(2, 2, 2, 2),
		})
		old := lastSequence(acts)
		c, _ = stepThrough(c, dragonflyconsensusmessage.Message{
			Kind: dragonflyconsensusmessage.Append, Term: 3, From: "c", Index: 1, LogTerm: 1, Entries: entries(2, 3),
		}, syncedTo(old))
		So(c.LastIndex(), ShouldEqual, 2)
		_, acts = stepThrough(c, dragonflyconsensusmessage.Message{Kind: dragonflyconsensusmessage.Append, Term: 3, From: "c", Index: 2, LogTerm: 3})
		for _, reply := range sent(dragonflyconsensusmessage.AppendReply, acts) {
			So(reply.Index, ShouldEqual, 1) // Acknowledges the contact, not the entry.
		}
		c, _ = stepThrough(c, syncedTo(old+9))
		c, _ = elected(c)
		c, _ = stepThrough(c, dragonflyconsensusmessage.Message{Kind: dragonflyconsensusmessage.AppendReply, Term: 4, Granted: true, Index: 3})
		assertCommitted(c, 0)
	})
	Convey("After a crash between writing the snapshot and the log, a conflicting log is dropped", t, func() {
		snap := dragonflysnapshot.Snapshot{Index: 2, Term: 3}
		records := []dragonflylogrecord.Record{{Term: 2, Vote: "b", Entries: entries(1, 1, 2, 2)}}
		c := dragonflyconsensus.New("a", members).Restored(snap, records)
		So(c.LastIndex(), ShouldEqual, 2)
		So(c.Term(), ShouldEqual, 3)
		records[0].Entries[1].Term = 3
		So(dragonflyconsensus.New("a", members).Restored(snap, records).LastIndex(), ShouldEqual, 3)
	})
	Convey("A later record replaces earlier entries from its first index on", t, func() {
		c := dragonflyconsensus.New("a", members).Restored(dragonflysnapshot.Snapshot{}, []dragonflylogrecord.Record{
			{Term: 1, Entries: entries(1, 1, 1, 1)}, {Term: 2, Entries: entries(2, 2)},
		})
		So(c.LastIndex(), ShouldEqual, 2)
		e, _ := c.Entry(2)
		So(e.Term, ShouldEqual, 2)
	})
	Convey("Proposals beyond the bound of unsynced writes are refused", t, func() {
		c, _ := elected(restored(1, 1))
		for range dragonflyconsensus.MaxUnsyncedWrites {
			c, _ = c.Step(2e12, dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Propose, Request: 1})
		}
		_, acts := c.Step(2e12, dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Propose, Request: 2})
		So(len(acts), ShouldEqual, 1)
		So(acts[0].Kind, ShouldEqual, dragonflyconsensusaction.Refuse)
	})
}
