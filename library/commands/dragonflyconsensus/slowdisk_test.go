package dragonflyconsensus_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyconsensus"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyconsensusaction"
	"dragonflyrelay.example/library/values/dragonflyconsensusevent"
	"dragonflyrelay.example/library/values/dragonflyconsensusmessage"
	"dragonflyrelay.example/library/values/dragonflylogentry"
	"dragonflyrelay.example/library/values/dragonflylogrecord"
	. "github.com/smartystreets/goconvey/convey"
)

// quickNetwork has the delays of an idle machine except for the syncs.
var quickNetwork = delays{message: 5, sync: 5, tick: 20}

// slowPlays is the number of plays for each delay.
const slowPlays = 300

// isConfirmed reports whether a living leader has committed an entry of its term.
func (e *election) isConfirmed() bool {
	l := e.leader()
	return l != "" && e.confirmed[l] == e.nodes[l].Term()
}

// newSlowElection returns instances whose syncs take up to sync milliseconds and wait for
// each other.
func newSlowElection(seed uint64, instances, sync int) *election {
	d := quickNetwork
	d.sync = sync
	e := newElection(seed, instances, d)
	e.disks = map[string]*disk{}
	for name := range e.nodes {
		e.disks[name] = &disk{}
	}
	return e
}

// slowFailover returns the time from the loss of the leader to the next one that is
// confirmed, while syncs take up to sync milliseconds. Each of the two has at most 10 s.
func slowFailover(seed uint64, instances, sync int) (took dragonflyduration.Duration) {
	e := newSlowElection(seed, instances, quickNetwork.sync)
	e.runUntil(e.now.Add(10*dragonflyduration.Second), e.isConfirmed)
	e.runUntil(e.now.Add(dragonflyduration.Second+e.upTo(150)), func() bool { return false })
	e.dead, e.delays.sync = e.leader(), sync
	lost := e.now
	e.runUntil(lost.Add(10*dragonflyduration.Second), e.isConfirmed)
	return e.now.Sub(lost)
}

// assertBounded checks that each of the plays takes at most bound.
func assertBounded(plays int, bound dragonflyduration.Duration, play func(seed uint64) dragonflyduration.Duration) {
	var worst dragonflyduration.Duration
	late := 0
	for seed := range plays {
		took := play(uint64(seed))
		if worst = max(worst, took); took > bound {
			late++
		}
	}
	_, _ = Printf("%d of %d late, worst %d ms\n", late, plays, worst/dragonflyduration.Millisecond)
	So(late, ShouldEqual, 0)
}

// TestSlowDisks guards against elections that take more syncs one after the other than
// they need, and against candidates that start anew while the votes for them are synced.
func TestSlowDisks(t *testing.T) {
	for _, n := range []int{3, 5} {
		Convey(fmt.Sprintf("The next leader of %d instances is confirmed within 2 s while syncs take up to 250 ms", n), t, func() {
			assertBounded(slowPlays, maxFailover, func(seed uint64) dragonflyduration.Duration { return slowFailover(seed, n, 250) })
		})
		Convey(fmt.Sprintf("The first leader of %d instances is confirmed within 2 s while syncs take up to 250 ms", n), t, func() {
			assertBounded(slowPlays, maxFailover, func(seed uint64) dragonflyduration.Duration {
				e := newSlowElection(seed, n, 250)
				e.runUntil(e.now.Add(10*dragonflyduration.Second), e.isConfirmed)
				return dragonflyduration.Duration(e.now)
			})
		})
		Convey(fmt.Sprintf("With syncs of up to 1 s, the next leader of %d instances takes four of them longer at most", n), t, func() {
			assertBounded(slowPlays, maxFailover+4*dragonflyduration.Second, func(seed uint64) dragonflyduration.Duration { return slowFailover(seed, n, 1000) })
		})
	}
}

// writes returns the writes that the event ev asks of c for.
func writes(c dragonflyconsensus.Consensus, ev dragonflyconsensusevent.Event) (records []dragonflylogrecord.Record) {
	_, acts := c.Step(1, ev)
	for _, a := range acts {
		if a.Kind == dragonflyconsensusaction.Persist {
			records = append(records, a.Record)
		}
	}
	return records
}

// received returns the event of the arrival of m from another instance.
func received(m dragonflyconsensusmessage.Message) dragonflyconsensusevent.Event {
	m.From, m.To = "n1", "n0"
	return dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Received, Message: m}
}

// TestOneWrite guards against replies that wait for two syncs: a write that is passed on
// while the one before it is in progress waits for the next sync.
func TestOneWrite(t *testing.T) {
	c := dragonflyconsensus.New("n0", []string{"n0", "n1", "n2"})
	Convey("A vote in a new term is one write", t, func() {
		So(writes(c, received(dragonflyconsensusmessage.Message{Kind: dragonflyconsensusmessage.Vote, Term: 3})), ShouldResemble,
			[]dragonflylogrecord.Record{{Term: 3, Vote: "n1"}})
	})
	Convey("So are the first entries of a leader of a new term", t, func() {
		entries := []dragonflylogentry.Entry{{Index: 1, Term: 2}, {Index: 2, Term: 3}}
		So(writes(c, received(dragonflyconsensusmessage.Message{Kind: dragonflyconsensusmessage.Append, Term: 3, Entries: entries})), ShouldResemble,
			[]dragonflylogrecord.Record{{Term: 3, Entries: entries}})
	})
}

// stepped returns c after the event ev, and the messages that it sends at once.
func stepped(c dragonflyconsensus.Consensus, now dragonflyinstant.Instant, ev dragonflyconsensusevent.Event) (next dragonflyconsensus.Consensus, messages []dragonflyconsensusmessage.Message) {
	next, acts := c.Step(now, ev)
	for _, a := range acts {
		if a.Kind == dragonflyconsensusaction.Send {
			messages = append(messages, a.Message)
		}
	}
	return next, messages
}

// newCandidate returns an instance of three that has begun an election in term 1, whose
// own vote is not synced, and the vote requests that it has sent.
func newCandidate() (c dragonflyconsensus.Consensus, requests []dragonflyconsensusmessage.Message) {
	c = dragonflyconsensus.New("n0", []string{"n0", "n1", "n2"})
	c, _ = stepped(c, 1, dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Tick, Seed: 1})
	c, _ = stepped(c, afterTimeout, dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Tick, Seed: 1})
	return stepped(c, afterTimeout, received(dragonflyconsensusmessage.Message{Kind: dragonflyconsensusmessage.PreVoteReply, Term: 1, Granted: true}))
}

// afterTimeout is later than any election timeout that begins with the clock.
const afterTimeout = dragonflyinstant.Instant(2 * dragonflyduration.Second)

// voteReply is the granted vote of another instance in term 1.
var voteReply = received(dragonflyconsensusmessage.Message{Kind: dragonflyconsensusmessage.VoteReply, Term: 1, Granted: true})

// TestVoteRequests guards against elections in which the voters wait for the sync of the
// candidate before they begin with their own.
func TestVoteRequests(t *testing.T) {
	c, requests := newCandidate()
	synced := dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Persisted, Sequence: 1}
	Convey("A candidate requests votes while its own is synced", t, func() {
		So(requests, ShouldHaveLength, 2)
		for _, m := range requests {
			So(m.Kind, ShouldEqual, dragonflyconsensusmessage.Vote)
			So(m.Term, ShouldEqual, 1)
		}
	})
	Convey("It leads only once its own vote is synced, even with the votes of a majority", t, func() {
		other := voteReply
		other.Message.From = "n2"
		c, _ := stepped(c, afterTimeout, voteReply)
		So(c.Leading(), ShouldBeFalse)
		c, _ = stepped(c, afterTimeout, other)
		So(c.Leading(), ShouldBeFalse)
		c, _ = stepped(c, afterTimeout, synced)
		So(c.Leading(), ShouldBeTrue)
	})
	Convey("It leads with the first vote after its own is synced", t, func() {
		c, _ := stepped(c, afterTimeout, synced)
		So(c.Leading(), ShouldBeFalse)
		c, _ = stepped(c, afterTimeout, voteReply)
		So(c.Leading(), ShouldBeTrue)
	})
}

// TestLateVotes guards against elections that begin anew over and over because the syncs
// of the votes take longer than the time after which a candidate tries again.
func TestLateVotes(t *testing.T) {
	Convey("A vote that arrives after the candidate has asked for pre-votes again still counts", t, func() {
		c, _ := newCandidate()
		c, _ = stepped(c, afterTimeout, dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Persisted, Sequence: 1})
		later := afterTimeout.Add(dragonflyduration.Second)
		c, requests := stepped(c, later, dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Tick, Seed: 1})
		So(requests[0].Kind, ShouldEqual, dragonflyconsensusmessage.PreVote)
		c, _ = stepped(c, later, voteReply)
		So(c.Leading(), ShouldBeTrue)
		So(c.Term(), ShouldEqual, 1)

		Convey("but not twice: a leader that stepped down does not lead again in its term", func() {
			// Without replies, it steps down and asks for pre-votes some time later.
			for range 3 {
				later = later.Add(3 * dragonflyduration.Second)
				c, _ = stepped(c, later, dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Persisted, Sequence: 2})
				c, requests = stepped(c, later, dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Tick, Seed: 1})
			}
			So(requests[0].Kind, ShouldEqual, dragonflyconsensusmessage.PreVote)
			c, _ = stepped(c, later, voteReply)
			So(c.Leading(), ShouldBeFalse)
		})
	})
	Convey("A voter whose vote is not synced grants no pre-vote of a later term, and one whose vote is synced does", t, func() {
		c := dragonflyconsensus.New("n0", []string{"n0", "n1", "n2"})
		c, _ = stepped(c, 1, received(dragonflyconsensusmessage.Message{Kind: dragonflyconsensusmessage.Vote, Term: 1}))
		preVote := received(dragonflyconsensusmessage.Message{Kind: dragonflyconsensusmessage.PreVote, Term: 2})
		assertGrants := func(c dragonflyconsensus.Consensus, granted bool) {
			_, replies := stepped(c, 1, preVote)
			So(replies, ShouldHaveLength, 1)
			So(replies[0].Granted, ShouldEqual, granted)
		}
		assertGrants(c, false)
		c, _ = stepped(c, 1, dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Persisted, Sequence: 1})
		assertGrants(c, true)
	})
	Convey("A voter leaves the candidate some time after its vote is synced, even if its own timeout is over", t, func() {
		c := dragonflyconsensus.New("n0", []string{"n0", "n1", "n2"})
		c, _ = stepped(c, 1, received(dragonflyconsensusmessage.Message{Kind: dragonflyconsensusmessage.Vote, Term: 1}))
		c, _ = stepped(c, afterTimeout, dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Persisted, Sequence: 1})
		tick := dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Tick, Seed: 1}
		c, requests := stepped(c, afterTimeout.Add(tickPeriod), tick)
		So(requests, ShouldBeEmpty)
		_, requests = stepped(c, afterTimeout.Add(4*tickPeriod), tick)
		So(requests, ShouldHaveLength, 2)
	})
	Convey("A follower whose entries are not synced grants a pre-vote", t, func() {
		c := dragonflyconsensus.New("n0", []string{"n0", "n1", "n2"})
		c, _ = stepped(c, 1, received(dragonflyconsensusmessage.Message{
			Kind: dragonflyconsensusmessage.Append, Term: 1, Entries: []dragonflylogentry.Entry{{Index: 1, Term: 1}},
		}))
		_, replies := stepped(c, afterTimeout, received(dragonflyconsensusmessage.Message{
			Kind: dragonflyconsensusmessage.PreVote, Term: 2, Index: 1, LogTerm: 1,
		}))
		So(replies, ShouldHaveLength, 1)
		So(replies[0].Granted, ShouldBeTrue)
	})
}

// TestConfirmedBySync guards against a leader whose disk is the slowest and that is
// confirmed only with the reply to its next heartbeat.
func TestConfirmedBySync(t *testing.T) {
	Convey("The sync that commits the first entry of a leader confirms it", t, func() {
		c, _ := newCandidate()
		c, _ = stepped(c, afterTimeout, syncedTo(1))
		c, _ = stepped(c, afterTimeout, voteReply)
		So(c.Leading(), ShouldBeTrue)
		c, _ = stepped(c, afterTimeout, received(dragonflyconsensusmessage.Message{
			Kind: dragonflyconsensusmessage.AppendReply, Term: 1, Granted: true, Index: 1, SentAt: afterTimeout,
		}))
		So(c.Commit(), ShouldEqual, 0)
		c, acts := c.Step(afterTimeout.Add(tickPeriod), syncedTo(2))
		So(c.Commit(), ShouldEqual, 1)
		So(acts[len(acts)-1], ShouldResemble, dragonflyconsensusaction.Action{Kind: dragonflyconsensusaction.Confirm, At: afterTimeout})
	})
}
