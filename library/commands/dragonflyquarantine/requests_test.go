package dragonflyquarantine_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/common/dragonflyfingerprint"
	"dragonflyrelay.example/library/values/dragonflyloss"
	"dragonflyrelay.example/library/values/dragonflypromptpart"
	. "github.com/smartystreets/goconvey/convey"
)

// fingerprint returns the fingerprint of a request with the given content.
func fingerprint(content string) string {
	return dragonflyfingerprint.Of("POST", "h", "/", "t1", []byte(content))
}

// lost returns the keys of a request without an answer.
func lost(content string, parts ...string) []dragonflypromptpart.Part {
	return append(unanswered(parts...), dragonflypromptpart.Part{ID: fingerprint(content), SentAge: second / 10})
}

// TestRequests guards against requests that crash server after server, and against sound
// requests and parts that are held for them.
func TestRequests(t *testing.T) {
	deadly := fingerprint("deadly")
	Convey("A request that three servers crashed with is quarantined, its parts are not", t, func() {
		l := newLeader()
		l.loseAt(2, lost("deadly", "a1")...)
		assertQuarantined(l, []string(nil)...)
		l.loseAt(4, lost("deadly", "a1")...)
		assertQuarantined(l, deadly)
	})
	Convey("A request is probed after 30 s, a part after 15 s", t, func() {
		l := newLeader()
		l.loseAt(3, lost("deadly")...)
		l.loseAt(3, unanswered("dead")...)
		assertQuarantined(l, "dead", deadly)
		for _, p := range l.state.Parts(l.now, "") {
			interval := 15 * second
			if p.ID == deadly {
				interval = 30 * second
			}
			So(p.Interval, ShouldEqual, interval)
			So(p.ProbeIn, ShouldBeBetweenOrEqual, interval-30*second/2, interval)
		}
	})
	Convey("A request without parts is quarantined", t, func() {
		l := newLeader()
		l.loseAt(3, lost("deadly")...)
		assertQuarantined(l, deadly)
	})
	Convey("Crashes in quick succession count if the request was sent again after each, and not if they have one cause", t, func() {
		for _, again := range []bool{true, false} {
			l := newLeader()
			sent := l.now
			for i := range 3 {
				l.now = l.now.Add(second / 20)
				l.state = l.state.WithLosses(l.now, []dragonflyloss.Loss{{ID: fmt.Sprint("s-", i), Boot: 1, Parts: []dragonflypromptpart.Part{
					{ID: deadly, SentAge: l.now.Sub(sent)},
				}}})
				if again {
					sent = l.now
				}
			}
			l.advance(second)
			So(l.state.Quarantines(deadly), ShouldEqual, again)
		}
	})
	Convey("A refused connection at an entry confirms a crash that control does not know of", t, func() {
		l := newLeader()
		for i := range 3 {
			id := fmt.Sprintf("s-%d", i)
			l.runs[id] = true
			l.advance(second)
			l.state = l.state.WithLosses(l.now, []dragonflyloss.Loss{{ID: id, Boot: 1, Refused: true, Parts: lost("deadly")}})
			l.state = l.state.WithLosses(l.now, []dragonflyloss.Loss{{ID: id, Boot: 1, Parts: lost("waiting" + id)}})
		}
		l.advance(second)
		assertQuarantined(l, deadly)
	})
	Convey("A request is not masked by one that waited at the same servers", t, func() {
		l := newLeader()
		l.loseAt(3, append(lost("deadly", "a1"), lost("waiting", "b1")...)...)
		So(l.state.Quarantines(deadly), ShouldBeTrue)
		So(l.state.Quarantines("a1"), ShouldBeFalse)
		So(l.state.Quarantines("b1"), ShouldBeFalse)
	})
	Convey("A request that was answered between the crashes is not quarantined", t, func() {
		l := newLeader()
		for range 4 {
			l.loseAt(1, append(lost("other", "a1"), answered(fingerprint("waiting"), second/10))...)
		}
		assertQuarantined(l, fingerprint("other"))
	})
	Convey("A part is quarantined once requests that are not alike crash engines with it", t, func() {
		l := newLeader()
		l.loseAt(3, lost("first", "a1", "dead")...)
		So(l.state.Quarantines("dead"), ShouldBeFalse)
		l.loseAt(1, append(lost("second", "a1", "dead"), answered("a1", 30*second))...)
		So(l.state.Quarantines("dead"), ShouldBeTrue)
		So(l.state.Quarantines("a1"), ShouldBeFalse)
	})
	Convey("A part is quarantined though each of its crashes took a held request along, if none was at all of them", t, func() {
		l := newLeader()
		l.loseAt(3, append(lost("first", "dead"), lost("waiting", "b1")...)...)
		l.loseAt(1, append(lost("second", "dead"), lost("waiting", "b1")...)...)
		l.loseAt(1, append(lost("third", "dead"), lost("first", "dead")...)...)
		So(l.state.Quarantines("dead"), ShouldBeTrue)
		So(l.state.Quarantines("b1"), ShouldBeFalse)
	})
	Convey("Two requests that crash servers do not accuse a part that waited at both", t, func() {
		l := newLeader()
		l.loseAt(1, append(lost("deadly1", "a1"), lost("x1", "s1")...)...)
		l.loseAt(2, lost("deadly1", "a1")...)
		l.loseAt(1, append(lost("deadly2", "b1"), lost("x2", "s1")...)...)
		l.loseAt(1, lost("deadly2", "b1")...)
		l.loseAt(1, append(lost("deadly2", "b1"), lost("x3", "s1")...)...)
		So(l.state.Quarantines("s1"), ShouldBeFalse)
	})
	Convey("Several requests that crash servers do not accuse a first part that was answered before them", t, func() {
		l := newLeader()
		for i := range 4 {
			l.loseAt(3, append(lost(fmt.Sprint("deadly", i), "a1"), answered("a1", 60*second))...)
		}
		So(l.state.Quarantines("a1"), ShouldBeFalse)
		So(len(l.state.Parts(l.now, "")), ShouldEqual, 4)
	})
	Convey("An answer that is reported before the third crash is judged holds for an instance that learns of it first", t, func() {
		l := newLeader()
		l.loseAt(2, lost("sound")...)
		l.report("entry-2", answered(fingerprint("sound"), 0))
		l.loseAt(2, lost("sound")...)
		assertQuarantined(l, []string(nil)...)
	})
	Convey("Requests without end stay within bounds and leave room for parts", t, func() {
		l := newLeader()
		for i := range 40 {
			var keys []dragonflypromptpart.Part
			for j := range 600 {
				keys = append(keys, lost(fmt.Sprint(j))...)
			}
			l.loseAt(1, append(keys, unanswered(fmt.Sprint("c", i), "dead")...)...)
		}
		requests := 0
		for _, p := range l.state.Parts(l.now, "") {
			if dragonflyfingerprint.Is(p.ID) {
				requests++
			}
		}
		So(requests, ShouldEqual, 256)
	})
}
