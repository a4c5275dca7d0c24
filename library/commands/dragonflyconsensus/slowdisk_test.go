package dragonflyconsensus_test

import (
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyconsensus"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyconsensusaction"
	"dragonflyrelay.example/library/values/dragonflyconsensusevent"
	"dragonflyrelay.example/library/values/dragonflyconsensusmessage"
	"dragonflyrelay.example/library/values/dragonflylogentry"
	"dragonflyrelay.example/library/values/dragonflylogrecord"
	. "github.com/smartystreets/goconvey/convey"
)

// quickNetwork has the delays of an idle machine except for the syncs.
var quickNetwork = delays{message: 5, sync: 5, tick: 20}

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
