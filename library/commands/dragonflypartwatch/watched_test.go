package dragonflypartwatch_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/values/dragonflypartevent"
	. "github.com/smartystreets/goconvey/convey"
)

// ask lets the leader ask for answers to the keys.
func (e *entry) ask(ids ...string) {
	e.step(dragonflypartevent.Event{Kind: dragonflypartevent.Received, HasWatched: true, Watched: ids, AskedAt: e.now})
}

// assertAnswers checks the keys of the answers with numbers above after.
func assertAnswers(e *entry, after uint64, ids ...string) {
	var got []string
	for _, p := range e.state.Answers(e.now, after) {
		So(p.Served, ShouldBeTrue)
		got = append(got, p.ID)
	}
	So(got, ShouldResemble, ids)
}

// TestWatchedAnswers guards against answers that speak for a key of a crash and do not reach
// control, because another entry has lost the request or the answer came later.
func TestWatchedAnswers(t *testing.T) {
	none := []string(nil)
	Convey("Answers to keys that the leader asks for are reported, those of before and since", t, func() {
		e := newEntry()
		e.served("a1", "b1")
		e.now = e.now.Add(second)
		e.ask("a1", "s1")
		assertAnswers(e, 0, "a1")
		So(e.state.Answers(e.now, 0)[0].ServedAge, ShouldEqual, second)
		reported := e.state.AnswerSequence()
		e.served("s1", "b1")
		assertAnswers(e, reported, "s1")
		e.served("a1")
		assertAnswers(e, reported, "a1", "s1")
	})
	Convey("One answer is reported each time that the leader asks", t, func() {
		e := newEntry()
		e.ask("a1")
		e.served("a1")
		reported := e.state.AnswerSequence()
		e.served("a1")
		assertAnswers(e, reported, none...)
		e.quarantine() // The keys are those of before.
		e.served("a1")
		assertAnswers(e, reported, none...)
		e.ask("a1")
		assertAnswers(e, reported, "a1")
	})
	Convey("An answer waits for the next request to the leader and is repeated to another one", t, func() {
		e := newEntry()
		e.ask("a1")
		before := e.state.Sequence()
		e.served("a1")
		So(e.state.Sequence(), ShouldEqual, before)
		assertAnswers(e, 0, "a1")
	})
	Convey("Many answers to other keys do not displace one that the leader has asked for before it came", t, func() {
		e := newEntry()
		e.ask("s1")
		for i := range 10_000 {
			e.served(fmt.Sprint("p", i))
		}
		e.served("s1")
		assertAnswers(e, 0, "s1")
	})
}
