package dragonflypartwatch_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/commands/dragonflypartwatch"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyfingerprint"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflypartevent"
	"dragonflyrelay.example/library/values/dragonflypartverdict"
	"dragonflyrelay.example/library/values/dragonflyquarantinedpart"
	. "github.com/smartystreets/goconvey/convey"
)

const second = dragonflyduration.Second

// entry is a watch on a clock of its own.
type entry struct {
	now   dragonflyinstant.Instant
	state dragonflypartwatch.Watch
}

func newEntry() *entry { return &entry{now: dragonflyinstant.Instant(1000 * second)} }

func (e *entry) step(ev dragonflypartevent.Event) (v dragonflypartverdict.Verdict) {
	e.state, v = e.state.Step(e.now, ev)
	return v
}

func (e *entry) admit(parts ...string) dragonflypartverdict.Verdict {
	return e.step(dragonflypartevent.Event{Kind: dragonflypartevent.Admit, Parts: parts})
}

func (e *entry) served(parts ...string) {
	e.step(dragonflypartevent.Event{Kind: dragonflypartevent.Served, Parts: parts})
}

func (e *entry) lose(id string, parts ...string) {
	e.step(dragonflypartevent.Event{Kind: dragonflypartevent.Lost, ID: id, Boot: 1, Parts: parts})
}

func (e *entry) quarantine(parts ...dragonflyquarantinedpart.Part) {
	e.step(dragonflypartevent.Event{Kind: dragonflypartevent.Received, Quarantine: parts, AskedAt: e.now})
}

func assertAdmitted(v dragonflypartverdict.Verdict, probe bool) {
	So(v, ShouldResemble, dragonflypartverdict.Verdict{Probe: probe})
}

func assertRefused(v dragonflypartverdict.Verdict, part string) {
	So(v.Part, ShouldEqual, part)
	So(v.RetryAfter, ShouldBeGreaterThanOrEqualTo, second)
	So(v.Probe, ShouldBeFalse)
}

func TestAdmission(t *testing.T) {
	dead := dragonflyquarantinedpart.Part{ID: "dead", Since: second, ProbeIn: 15 * second, Interval: 15 * second}
	granted := dead
	granted.ProbeIn, granted.Grant, granted.GrantLeft = 0, 9, 2*second

	Convey("Requests with a quarantined part are refused, others with the same first part are not", t, func() {
		e := newEntry()
		assertAdmitted(e.admit("a1", "dead"), false)
		e.quarantine(dead)
		assertRefused(e.admit("a1", "dead"), "dead")
		assertAdmitted(e.admit("a1"), false)
		So(e.state.Parts(e.now)[0].Wanted, ShouldBeTrue)
		e.quarantine()
		assertAdmitted(e.admit("a1", "dead"), false)
	})
	Convey("A permission admits one request, also if it is received twice", t, func() {
		e := newEntry()
		e.quarantine(granted)
		assertAdmitted(e.admit("a1", "dead"), true)
		assertRefused(e.admit("a1", "dead"), "dead")
		e.quarantine(granted)
		assertRefused(e.admit("a1", "dead"), "dead")
	})
	Convey("A permission that ran out while the process was suspended admits nothing", t, func() {
		e := newEntry()
		e.quarantine(granted)
		e.now = e.now.Add(3 * second)
		assertRefused(e.admit("dead"), "dead")
	})
	Convey("A request with another quarantined part uses no permission up", t, func() {
		e := newEntry()
		grim := dead
		grim.ID = "grim"
		e.quarantine(granted, grim)
		assertRefused(e.admit("dead", "grim"), "grim")
		assertAdmitted(e.admit("dead"), true)
	})
	Convey("A caller of a part that is not probed any more is asked to stay away for long", t, func() {
		e := newEntry()
		dead.Exhausted, dead.FailedProbes = true, 2
		e.quarantine(dead)
		e.now = e.now.Add(60 * second)
		So(e.admit("dead").RetryAfter, ShouldEqual, dragonflyquarantinedpart.MaxProbeInterval)
		So(e.state.Quarantine(e.now)[0].FailedProbes, ShouldEqual, 2)
	})
	Convey("Without control a quarantine stays, since nothing speaks for the part", t, func() {
		e := newEntry()
		e.quarantine(dead)
		e.now = e.now.Add(3600 * second)
		assertRefused(e.admit("dead"), "dead")
		So(e.state.Quarantine(e.now), ShouldHaveLength, 1)
	})
}

func TestReports(t *testing.T) {
	Convey("A loss is reported with the parts of all its requests and their latest answers", t, func() {
		e := newEntry()
		e.served("a1")
		e.now = e.now.Add(second)
		e.lose("i-1", "a1", "dead")
		e.lose("i-1", "b1")
		losses := e.state.Losses(e.now, 0)
		So(losses, ShouldHaveLength, 1)
		So(losses[0].Parts, ShouldHaveLength, 3)
		So(losses[0].Parts[0].ServedAge, ShouldEqual, second)
		So(losses[0].Parts[2].Depth, ShouldEqual, 1)
		So(e.state.Losses(e.now, e.state.Sequence()), ShouldBeEmpty)
	})
	Convey("Requests without shared parts are not recorded", t, func() {
		e := newEntry()
		e.lose("i-1")
		So(e.state.Losses(e.now, 0), ShouldBeEmpty)
	})
	Convey("Losses, their parts and answered parts stay within bounds, and parts in use stay", t, func() {
		e := newEntry()
		for i := range 10_000 {
			e.lose(fmt.Sprintf("i-%d", i%100), fmt.Sprintf("p%d", i))
			e.served(fmt.Sprintf("p%d", i), "a1")
		}
		e.lose("i-1", "a1")
		losses := e.state.Losses(e.now, 0)
		So(len(losses), ShouldBeLessThanOrEqualTo, 32)
		for _, l := range losses {
			So(len(l.Parts), ShouldBeLessThanOrEqualTo, 64)
		}
		So(losses[len(losses)-1].Parts[0].Served, ShouldBeTrue)
		e.now = e.now.Add(21 * second)
		So(e.state.Losses(e.now, 0), ShouldBeEmpty)
	})
}

func (e *entry) refuse(id string) {
	e.step(dragonflypartevent.Event{Kind: dragonflypartevent.Refused, ID: id, Boot: 1})
}

// crash loses a request at an endpoint that then refuses a connection.
func (e *entry) crash(id, key string) {
	e.now = e.now.Add(second)
	e.lose(id, key)
	e.refuse(id)
}

// TestOwnEvidence guards against entries that keep sending a request which crashes servers
// while control is lost, and against sound ones that are refused for good.
func TestOwnEvidence(t *testing.T) {
	deadly := dragonflyfingerprint.Of("POST", "h", "/", "t1", []byte("deadly"))
	crashed := func() *entry {
		e := newEntry()
		for _, id := range []string{"s-1", "s-2", "s-3"} {
			assertAdmitted(e.admit(deadly), false)
			e.crash(id, deadly)
		}
		return e
	}
	Convey("A request that was lost at three crashes is refused without control", t, func() {
		assertRefused(crashed().admit(deadly), deadly)
	})
	Convey("Crashes that come seldom count, and others do not displace them", t, func() {
		e := newEntry()
		for range 2 {
			e.crash(fmt.Sprint("s-", e.now), deadly)
			e.now = e.now.Add(600 * second)
		}
		for i := range 100 {
			e.crash(fmt.Sprint("o-", i), dragonflyfingerprint.Of("POST", "h", "/", "t1", fmt.Append(nil, i)))
		}
		assertAdmitted(e.admit(deadly), false)
		e.crash("s-3", deadly)
		assertRefused(e.admit(deadly), deadly)
	})
	Convey("A request that is answered after each of its crashes is not refused", t, func() {
		e := newEntry()
		for range 10 {
			e.crash(fmt.Sprint("s-", e.now), deadly)
			e.served(deadly)
			e.now = e.now.Add(16 * second)
		}
		for i := range 10_000 {
			e.served(dragonflyfingerprint.Of("POST", "h", "/", "t1", fmt.Append(nil, i)))
		}
		e.crash("s-last", deadly)
		assertAdmitted(e.admit(deadly), false)
	})
	Convey("Connections that break without a crash hold no request", t, func() {
		e := newEntry()
		for _, id := range []string{"s-1", "s-2", "s-3", "s-4"} {
			e.now = e.now.Add(second)
			e.lose(id, deadly)
		}
		e.now = e.now.Add(2 * second)
		e.refuse("s-4") // A planned stop.
		assertAdmitted(e.admit(deadly), false)
	})
	Convey("The first loss at an endpoint asks for a check, a later one after it has lived on asks again", t, func() {
		e := newEntry()
		lose := func() bool {
			return e.step(dragonflypartevent.Event{Kind: dragonflypartevent.Lost, ID: "s-1", Boot: 1, Parts: []string{deadly}}).Check
		}
		So(lose(), ShouldBeTrue)
		So(lose(), ShouldBeFalse)
		e.now = e.now.Add(5 * second)
		So(lose(), ShouldBeTrue)
		So(e.state.Losses(e.now, 0), ShouldHaveLength, 1)
		So(e.state.Losses(e.now, 0)[0].Age, ShouldEqual, 0)
	})
	Convey("A leader that does not list the request ends the refusal, but not at once", t, func() {
		e := crashed()
		e.quarantine()
		assertRefused(e.admit(deadly), deadly)
		e.now = e.now.Add(3 * second)
		e.step(dragonflypartevent.Event{Kind: dragonflypartevent.Confirmed})
		assertAdmitted(e.admit(deadly), false)
	})
	Convey("A request that an instance without the lead holds is refused while no leader answers", t, func() {
		e := newEntry()
		held := []dragonflyquarantinedpart.Part{{ID: deadly, Since: second, ProbeIn: 15 * second, Interval: 15 * second}}
		for range 10 {
			e.step(dragonflypartevent.Event{Kind: dragonflypartevent.Unlisted, Quarantine: held, AskedAt: e.now})
			assertRefused(e.admit(deadly), deadly)
			e.now = e.now.Add(second)
		}
		Convey("and an answer is reported and releases it", func() {
			before := e.state.Sequence()
			e.served(deadly)
			So(e.state.Sequence(), ShouldBeGreaterThan, before)
			assertAdmitted(e.admit(deadly), false)
			e.step(dragonflypartevent.Event{Kind: dragonflypartevent.Unlisted, Quarantine: held, AskedAt: e.now})
			assertAdmitted(e.admit(deadly), false)
		})
	})
	Convey("Answers to many requests do not displace those of parts", t, func() {
		e := newEntry()
		e.served("a1")
		for i := range 10000 {
			e.served(dragonflyfingerprint.Of("POST", "h", "/", "t1", fmt.Append(nil, i)))
		}
		e.quarantine(dragonflyquarantinedpart.Part{ID: "a1", ProbeIn: 15 * second})
		So(e.state.Parts(e.now), ShouldHaveLength, 1)
	})
}

// TestInstancesWithoutLead guards against sound requests that stay refused because an
// instance without the lead does not learn of their answer.
func TestInstancesWithoutLead(t *testing.T) {
	sound := dragonflyfingerprint.Of("POST", "h", "/", "t1", []byte("sound"))
	held := []dragonflyquarantinedpart.Part{{ID: sound, Since: second, ProbeIn: 15 * second, Interval: 15 * second}}
	list := func(e *entry, source string, parts ...dragonflyquarantinedpart.Part) {
		e.step(dragonflypartevent.Event{Kind: dragonflypartevent.Unlisted, Source: source, Quarantine: parts, AskedAt: e.now})
	}
	Convey("An entry that has seen an answer since reports it to an instance that holds the request", t, func() {
		e := newEntry()
		e.served(sound)
		before := e.state.Sequence()
		list(e, "control-1", held...)
		assertAdmitted(e.admit(sound), false)
		So(e.state.Sequence(), ShouldBeGreaterThan, before)
		So(e.state.Parts(e.now), ShouldHaveLength, 1)
	})
	Convey("An entry drops what the instance no longer holds, not what another one never held", t, func() {
		e := newEntry()
		list(e, "control-1", held...)
		list(e, "control-2")
		assertRefused(e.admit(sound), sound)
		list(e, "control-1")
		assertAdmitted(e.admit(sound), false)
	})
}

// TestSuspects guards against a second copy of a request that may have crashed an endpoint.
func TestSuspects(t *testing.T) {
	Convey("A request is a suspect for a while after a loss with one of its keys", t, func() {
		fingerprint := dragonflyfingerprint.Of("POST", "h", "/x", "w", []byte("body"))
		e := newEntry()
		assertSuspect := func(want bool, keys ...string) { So(e.state.Suspects(e.now, keys), ShouldEqual, want) }
		assertSuspect(false, "part", fingerprint)
		e.lose("a", "part", fingerprint)
		assertSuspect(true, "part")
		assertSuspect(true, "other", fingerprint)
		assertSuspect(false, "other")
		e.now = e.now.Add(dragonflypartwatch.ReportTime + 1)
		assertSuspect(false, "part", fingerprint)
	})
	Convey("A request with a key that the leader asks for is a suspect until the entry has seen an answer", t, func() {
		e := newEntry()
		e.served("part")
		e.ask("part")
		e.now = e.now.Add(3600 * second)
		So(e.state.Suspects(e.now, []string{"part"}), ShouldBeTrue)
		e.served("part")
		So(e.state.Suspects(e.now, []string{"part"}), ShouldBeFalse)
	})
}
