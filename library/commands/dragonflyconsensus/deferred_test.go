package dragonflyconsensus_test

import (
	"slices"
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyconsensus"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyconsensusaction"
	"dragonflyrelay.example/library/values/dragonflyconsensusevent"
	"dragonflyrelay.example/library/values/dragonflyconsensusmessage"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// assertOneReply asserts that instance a, whose disk does not answer, sends the reply once
// for all of the repeated messages when the disk answers.
func assertOneReply(repeated, reply dragonflyconsensusmessage.Message) {
	const repetitions = 5000
	c, acts := stepThrough(restored(3, 1), dragonflyconsensusmessage.Message{
		Kind: dragonflyconsensusmessage.Append, Term: 3, Index: 1, LogTerm: 1, Entries: entries(2, 3, 3),
	})
	for i := range repetitions {
		repeated.SentAt = dragonflyinstant.Instant(i + 1)
		c, _ = stepThrough(c, repeated)
	}
	_, acts = stepThrough(c, syncedTo(lastSequence(acts)))
	reply.From = "a"
	So(slices.DeleteFunc(sent(reply.Kind, acts), func(m dragonflyconsensusmessage.Message) bool {
		return m.To != reply.To || m.Granted != reply.Granted
	}), ShouldResemble, []dragonflyconsensusmessage.Message{reply})
}

// TestDeferredReplies guards against a follower that keeps one reply for each heartbeat,
// without a bound, while its disk does not answer.
func TestDeferredReplies(t *testing.T) {
	const last = 5000 // SentAt of the last message
	heartbeat := dragonflyconsensusmessage.Message{Kind: dragonflyconsensusmessage.Append, Term: 3, Index: 3, LogTerm: 3}
	reply := dragonflyconsensusmessage.Message{Kind: dragonflyconsensusmessage.AppendReply, To: "b", Term: 3, Index: 3, SentAt: last}
	Convey("Heartbeats", t, func() {
		reply.Granted = true
		assertOneReply(heartbeat, reply)
	})
	Convey("Heartbeats that do not match the log", t, func() {
		heartbeat.Index, reply.Granted = 9, false
		assertOneReply(heartbeat, reply)
	})
	Convey("Heartbeats of an earlier leader", t, func() {
		assertOneReply(
			dragonflyconsensusmessage.Message{Kind: dragonflyconsensusmessage.Append, From: "c", Term: 2, Index: 1, LogTerm: 1},
			dragonflyconsensusmessage.Message{Kind: dragonflyconsensusmessage.AppendReply, To: "c", Term: 3},
		)
	})
	Convey("Vote requests", t, func() {
		assertOneReply(
			dragonflyconsensusmessage.Message{Kind: dragonflyconsensusmessage.Vote, From: "c", Term: 3, Index: 3, LogTerm: 3},
			dragonflyconsensusmessage.Message{
				Kind: dragonflyconsensusmessage.VoteReply, To: "c", Term: 3, Refusal: dragonflyconsensusmessage.LeaderActive,
			},
		)
	})
}

// acceptance is what a reply to an accepted Append acknowledges.
type acceptance struct {
	sequence uint64 // of the write that it waits for
	to       string
	index    uint64
	sentAt   dragonflyinstant.Instant
}

// replies drives instance a by the messages of one leader after another, and checks its
// replies.
type replies struct {
	c        dragonflyconsensus.Consensus
	leader   string
	term     uint64
	log      []uint64 // terms of the entries of the leader
	sequence uint64
	unsynced []dragonflyconsensusaction.Action
	durable  []uint64 // terms of the entries on the disk
	waiting  []acceptance
	now      dragonflyinstant.Instant
}

// step passes ev to the instance and returns what it sends. A granted reply to the leader
// must not acknowledge entries that are not on the disk.
func (r *replies) step(t *rapid.T, ev dragonflyconsensusevent.Event) (sent []dragonflyconsensusmessage.Message) {
	next, acts := r.c.Step(r.now, ev)
	r.c = next
	for _, a := range acts {
		switch m := a.Message; a.Kind {
		case dragonflyconsensusaction.Persist:
			r.sequence = a.Sequence
			r.unsynced = append(r.unsynced, a)
		case dragonflyconsensusaction.Send:
			sent = append(sent, m)
			if m.Term == r.term && m.Granted && !slices.Equal(r.log[:m.Index], r.durable[:min(m.Index, uint64(len(r.durable)))]) {
				t.Fatalf("entries up to %d of %v are acknowledged, and %v are on the disk", m.Index, r.log, r.durable)
			}
		}
	}
	return sent
}

// receive delivers entries of the leader after index, or a heartbeat for an index that the
// instance may lack. An earlier message may arrive after a later one.
func (r *replies) receive(t *rapid.T) {
	index := rapid.IntRange(0, len(r.log)).Draw(t, "index")
	to := rapid.IntRange(index, len(r.log)).Draw(t, "to")
	m := dragonflyconsensusmessage.Message{
		Kind: dragonflyconsensusmessage.Append, From: r.leader, To: "a", Term: r.term, Index: uint64(index),
		SentAt: r.now - dragonflyinstant.Instant(rapid.IntRange(0, 5).Draw(t, "delay")), Entries: entries(uint64(index+1), r.log[index:to]...),
	}
	if index > 0 {
		m.LogTerm = r.log[index-1]
	}
	matches := uint64(index) <= r.c.LastIndex()
	if e, ok := r.c.Entry(uint64(index)); ok {
		matches = e.Term == m.LogTerm
	}
	r.step(t, dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Received, Message: m})
	if matches && len(r.unsynced) > 0 {
		r.waiting = append(r.waiting, acceptance{r.sequence, r.leader, uint64(to), m.SentAt})
	}
}

// sync lets the disk carry out some writes. The replies that waited for them must
// acknowledge all that was accepted, in a few messages for each write.
func (r *replies) sync(t *rapid.T) {
	if len(r.unsynced) == 0 {
		return
	}
	n := rapid.IntRange(1, min(len(r.unsynced), 3)).Draw(t, "writes")
	last := r.unsynced[n-1].Sequence
	for _, a := range r.unsynced[:n] {
		for _, e := range a.Record.Entries {
			r.durable = append(slices.Clone(r.durable[:e.Index-1]), e.Term)
		}
	}
	r.unsynced = slices.Clone(r.unsynced[n:])
	sent := r.step(t, syncedTo(last))
	if len(sent) > 4*n {
		t.Fatalf("%d messages wait for %d writes", len(sent), n)
	}
	for len(r.waiting) > 0 && r.waiting[0].sequence <= last {
		w := r.waiting[0]
		r.waiting = r.waiting[1:]
		index, sentAt := uint64(0), dragonflyinstant.Instant(0)
		for _, m := range sent {
			if m.Granted && m.To == w.to {
				index, sentAt = max(index, m.Index), max(sentAt, m.SentAt)
			}
		}
		if index < w.index || sentAt < w.sentAt {
			t.Fatalf("the reply to a message of %d with entries up to %d is lost: %v", w.sentAt, w.index, sent)
		}
	}
}

// TestDeferredRepliesRandom guards against replies that are lost, or sent before the disk
// has the entries that they acknowledge, because they are merged while they wait for it.
func TestDeferredRepliesRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &replies{c: dragonflyconsensus.New("a", members), leader: "b", term: 1, now: 10}
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			r.now++
			switch kind := rapid.IntRange(0, 99).Draw(t, "kind"); {
			case kind < 15:
				r.log = append(r.log, r.term)
			case kind < 20:
				r.log = slices.Clone(r.log[:rapid.IntRange(0, len(r.log)).Draw(t, "kept")])
				r.term++
				r.leader = members[1+r.term%2]
				r.log = append(r.log, r.term)
			case kind < 35:
				r.sync(t)
			default:
				r.receive(t)
			}
		}
	})
}
