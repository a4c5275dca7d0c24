package dragonflydirectory_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyannouncement"
	"dragonflyrelay.example/library/values/dragonflydirectoryaction"
	"dragonflyrelay.example/library/values/dragonflydirectoryevent"
	"dragonflyrelay.example/library/values/dragonflygrouporder"
	"dragonflyrelay.example/library/values/dragonflymember"
	"dragonflyrelay.example/library/values/dragonflyreport"
	. "github.com/smartystreets/goconvey/convey"
)

// assertDissolves asserts that acts request the dissolution of exactly one group,
// once and for the given reason.
func assertDissolves(acts []dragonflydirectoryaction.Action, group uint64, reason string) {
	var got []dragonflydirectoryaction.Action
	for _, a := range acts {
		if a.Kind == dragonflydirectoryaction.DissolveGroup {
			got = append(got, a)
		}
	}
	So(len(got), ShouldEqual, 1)
	So(got[0].Group, ShouldEqual, group)
	So(got[0].Reason, ShouldEqual, reason)
}

// assertReady asserts the members of the groups with a ready route, and that no
// invariant is broken.
func assertReady(f *fleet, groups ...[]string) {
	So(f.ready(), ShouldResemble, groups)
	So(f.violations, ShouldBeEmpty)
}

// newReadyPair returns a fleet whose only group, of "d.0" and "d.1", is ready.
func newReadyPair() *fleet {
	f := newFleet(2)
	f.addDomain(2, "za", "d")
	f.advance(14)
	assertReady(f, []string{"d.0", "d.1"})
	return f
}

func TestForming(t *testing.T) {
	Convey("A new leader forms no group before it has collected reports", t, func() {
		f := newFleet(2)
		f.addDomain(2, "za", "d")
		So(f.advance(4), ShouldBeEmpty)
		acts := f.advance(1)
		So(len(acts), ShouldEqual, 1)
		So(acts[0].Kind, ShouldEqual, dragonflydirectoryaction.FormGroup)
		So(acts[0].Members[0], ShouldResemble, dragonflymember.Member{Instance: "d.0", AgentAddress: "127.0.0.1:d.0", EngineAddress: "127.0.1.1:d.0"})
		So(f.advance(5), ShouldBeEmpty)
	})
	Convey("A change that is in progress is not requested twice", t, func() {
		f := newFleet(2)
		f.addDomain(2, "za", "d")
		f.advance(4)
		f.now = f.now.Add(halfSecond)
		d, acts := f.d.Step(f.now, dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Tick})
		So(len(acts), ShouldEqual, 1)
		f.d = d // The change is lost.
		So(f.advance(5), ShouldBeEmpty)
		So(len(f.advance(2)), ShouldEqual, 1)
	})
	Convey("A follower requests no changes", t, func() {
		f := newFleet(2)
		f.addDomain(2, "za", "d")
		f.step(dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Followed})
		So(f.advance(12), ShouldBeEmpty)
	})
	Convey("An instance that is not certain to be free and suitable joins no group", t, func() {
		for name, edit := range map[string]func(*dragonflyreport.Report){
			"releasing":    func(r *dragonflyreport.Report) { r.Membership = dragonflyreport.Releasing },
			"unknown":      func(r *dragonflyreport.Report) { r.Membership = dragonflyreport.Unknown },
			"joining":      func(r *dragonflyreport.Report) { r.Membership, r.Group, r.Fence = dragonflyreport.Joining, 9, 9 },
			"in a group":   func(r *dragonflyreport.Report) { r.Group, r.Fence = 9, 9 },
			"dead":         func(r *dragonflyreport.Report) { r.Alive = false },
			"leaving":      func(r *dragonflyreport.Report) { r.Announcement.State = dragonflyannouncement.Leaving },
			"a service":    func(r *dragonflyreport.Report) { r.Announcement.Kind = dragonflyannouncement.Service },
			"other domain": func(r *dragonflyreport.Report) { r.Announcement.Domain = "e" },
			"other model":  func(r *dragonflyreport.Report) { r.Announcement.Model = "n" },
		} {
			Convey(name, func() {
				f := newFleet(2)
				f.addDomain(2, "za", "d")
				a := f.agents["d.1"]
				a.stepsLeft = 1000
				edit(&a.report)
				So(f.advance(8), ShouldBeEmpty)
			})
		}
	})
	Convey("A member of a group in the replicated state joins no other group, whatever it reports", t, func() {
		f := newReadyPair()
		f.add("d.2", "za", "d")
		f.agents["d.1"].report.Membership = dragonflyreport.Free
		So(f.advance(8), ShouldBeEmpty)
	})
}

func TestDissolving(t *testing.T) {
	Convey("A group is dissolved immediately after a running agent has left it", t, func() {
		f := newReadyPair()
		f.agents["d.1"].leave()
		assertDissolves(f.advance(1), 1, "member-left")
		assertReady(f)
	})
	Convey("A restarted agent has 5 s to rejoin its group", t, func() {
		for _, id := range []string{"d.0", "d.1"} {
			f := newReadyPair()
			f.agents[id].restart()
			So(f.advance(1), ShouldBeEmpty)
			assertReady(f)
			So(f.advance(9), ShouldBeEmpty)
			assertReady(f, []string{"d.0", "d.1"})
			f.agents[id].restart()
			f.agents[id].ignoresOrders = true
			So(f.advance(10), ShouldBeEmpty)
			assertDissolves(f.advance(1), 1, "member-restarted")
		}
	})
	Convey("An agent that shuts down and leaves its group is replaced immediately", t, func() {
		f := newReadyPair()
		f.add("d.2", "za", "d")
		a := f.agents["d.1"]
		a.report.Announcement.State = dragonflyannouncement.Leaving
		a.leave()
		assertDissolves(f.advance(1), 1, "member-left")
		f.advance(12)
		assertReady(f, []string{"d.0", "d.2"})
	})
	Convey("A group with a lost member gets no requests and is kept for a load time in case the member returns", t, func() {
		for reason, edit := range map[string]func(*agent){
			"member-lost":   func(a *agent) { a.dead = true },
			"member-silent": func(a *agent) { a.report.Alive = false },
		} {
			Convey(reason, func() {
				f := newReadyPair()
				edit(f.agents["d.1"])
				So(f.advance(f.loadSteps), ShouldBeEmpty)
				assertReady(f)
				assertDissolves(f.advance(2), 1, reason)
			})
		}
	})
	Convey("A head that does not report counts as lost as soon as a member reports that the lease has expired", t, func() {
		f := newReadyPair()
		f.agents["d.0"].dead = true
		f.advance(3)
		assertReady(f, []string{"d.0", "d.1"})
		f.agents["d.1"].report.GroupLeaseLapsed = true
		f.advance(1)
		assertReady(f)
		f.agents["d.0"].dead, f.agents["d.1"].report.GroupLeaseLapsed = false, false
		f.advance(1)
		assertReady(f, []string{"d.0", "d.1"})
	})
	Convey("A member that misses heartbeats does not make a head that reports count as lost", t, func() {
		f := newReadyPair()
		f.agents["d.1"].report.GroupLeaseLapsed = true
		f.advance(4)
		assertReady(f, []string{"d.0", "d.1"})
	})
	Convey("A member counts as lost 3 s after its last report unless the head reports the group as ready", t, func() {
		f := newReadyPair()
		f.agents["d.1"].disconnected = true
		So(f.advance(20), ShouldBeEmpty)
		assertReady(f, []string{"d.0", "d.1"})
		f.agents["d.0"].report.LostMembers = []string{"d.1"} // The lease has expired.
		f.agents["d.1"].dead = true
		assertDissolves(f.advance(7), 1, "member-silent")
	})
	Convey("A group of which no member reports is shown as silent and not ready", t, func() {
		f := newReadyPair()
		f.agents["d.0"].dead, f.agents["d.1"].dead = true, true
		So(f.advance(6), ShouldBeEmpty)
		So(f.d.Routes()[0].Ready, ShouldBeTrue)
		f.advance(1)
		So(f.d.Routes()[0].Ready, ShouldBeFalse)
		So(f.d.Routes()[0].Silent, ShouldBeTrue)
	})
	Convey("A group with a leaving member or a zone out of service completes its requests before it is dissolved", t, func() {
		for reason, edit := range map[string]func(*fleet){
			"member-leaving": func(f *fleet) { f.agents["d.1"].report.Announcement.State = dragonflyannouncement.Leaving },
			"zone-out":       func(f *fleet) { f.zone("za", true, 0) },
		} {
			Convey(reason, func() {
				f := newReadyPair()
				f.agents["d.0"].report.Load.InFlight = 1
				edit(f)
				So(f.advance(20), ShouldBeEmpty)
				assertReady(f)
				f.agents["d.0"].report.Load.InFlight = 0
				assertDissolves(f.advance(1), 1, reason)
			})
		}
	})
	Convey("Requests in progress do not delay the dissolution of a group indefinitely", t, func() {
		f := newReadyPair()
		f.agents["d.0"].report.Load.InFlight = 1
		f.zone("za", true, 0)
		assertDissolves(f.advance(2*120+2), 1, "zone-out")
	})
	Convey("A route is ready only while the head reports the group and fencing number of the replicated state", t, func() {
		f := newReadyPair()
		f.agents["d.0"].report.Fence = 9
		f.advance(1)
		assertReady(f)
	})
	Convey("A group is dissolved if a member has not accepted the order within 10 s", t, func() {
		f := newFleet(2)
		f.addDomain(2, "za", "d")
		f.advance(5)
		f.agents["d.1"].report.Membership, f.agents["d.1"].stepsLeft = dragonflyreport.Unknown, 1000
		So(f.advance(20), ShouldBeEmpty)
		assertDissolves(f.advance(1), 1, "member-not-joined")
	})
}

func TestOrders(t *testing.T) {
	Convey("Members are ordered to form the group, former members to dissolve it, other instances get no order", t, func() {
		f := newReadyPair()
		So(f.d.Order("d.1").Kind, ShouldEqual, dragonflygrouporder.Form)
		So(f.d.Order("d.1").Fence, ShouldEqual, uint64(1))
		f.step(dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Groups, Index: 9, Fence: 1})
		So(f.d.Order("d.1"), ShouldResemble, dragonflygrouporder.Order{Kind: dragonflygrouporder.Dissolve, Group: 1, Fence: 1})
		So(f.d.Order("x"), ShouldResemble, dragonflygrouporder.Order{})
	})
	Convey("A report that shows that the order has been carried out does not get it again", t, func() {
		f := newReadyPair()
		r := f.agents["d.1"].report
		r.Membership, r.Group, r.Fence = dragonflyreport.Member, 1, 1
		So(f.d.PendingOrder(r), ShouldResemble, dragonflygrouporder.Order{})
		restarted := r
		restarted.Membership, restarted.Group, restarted.Fence = dragonflyreport.Releasing, 0, 0
		So(f.d.PendingOrder(restarted).Kind, ShouldEqual, dragonflygrouporder.Form)
		older := r
		older.Group, older.Fence = 0, 0
		So(f.d.PendingOrder(older).Kind, ShouldEqual, dragonflygrouporder.Form)
	})
	Convey("A control instance with an outdated state does not dissolve a group that it does not have yet", t, func() {
		f := newFleet(2)
		a := f.add("x", "za", "d")
		a.report.Group, a.report.Fence = 8, 8
		f.advance(1)
		So(f.d.Order("x"), ShouldResemble, dragonflygrouporder.Order{})
	})
	Convey("Groups of an older log index are ignored", t, func() {
		f := newReadyPair()
		f.step(dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Groups, Index: f.index - 1})
		So(f.d.Order("d.1").Kind, ShouldEqual, dragonflygrouporder.Form)
	})
}

func TestNotice(t *testing.T) {
	Convey("A zone with a planned take-out serves until the notice period ends, then is taken out", t, func() {
		f := newReadyPair()
		f.zone("za", false, 10*dragonflyduration.Second)
		So(f.advance(19), ShouldBeEmpty)
		assertReady(f, []string{"d.0", "d.1"})
		acts := f.advance(1)
		So(len(acts), ShouldEqual, 1)
		So(acts[0].Kind, ShouldEqual, dragonflydirectoryaction.EndZoneNotice)
		So(acts[0].Zone, ShouldEqual, "za")
		assertReady(f)
	})
	Convey("A withdrawn notice has no effect", t, func() {
		f := newReadyPair()
		f.zone("za", false, 10*dragonflyduration.Second)
		f.advance(10)
		f.zone("za", false, 0)
		So(f.advance(30), ShouldBeEmpty)
	})
	Convey("A change of leader does not restart the notice period", t, func() {
		f := newReadyPair()
		f.zone("za", false, 10*dragonflyduration.Second)
		f.advance(10)
		f.step(dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Led, Term: 2})
		So(len(f.advance(10)), ShouldEqual, 1)
	})
}

// TestOwnPause guards against a leader that takes the time for which it stood still itself,
// without an election, for the silence of all instances.
func TestOwnPause(t *testing.T) {
	for _, pause := range []dragonflyduration.Duration{2500 * dragonflyduration.Millisecond, 20 * dragonflyduration.Second, 10 * dragonflyduration.Minute} {
		Convey(fmt.Sprintf("After a pause of %g s all routes stay as they were, and no change is requested", pause.Seconds()), t, func() {
			f := newReadyPair()
			a := f.add("s.0", "za", "e")
			a.report.Announcement.Kind, a.report.Announcement.Service = dragonflyannouncement.Service, "svc"
			a.report.Announcement.State = dragonflyannouncement.Ready
			f.advance(4)
			routes := f.d.Routes()
			So(routes, ShouldHaveLength, 2)
			f.now, f.acts = f.now.Add(pause), nil
			tick := dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Tick}
			member := dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Reported, Report: f.agents["d.1"].reportAsHead(f)}
			for _, events := range [][]dragonflydirectoryevent.Event{{tick, member, tick}, {member, tick, tick}} {
				before := f.d
				for _, ev := range events {
					f.step(ev)
					So(f.d.Routes(), ShouldResemble, routes)
				}
				f.d = before
			}
			So(f.acts, ShouldBeEmpty)
			So(f.advance(14), ShouldBeEmpty)
			So(f.d.Routes(), ShouldResemble, routes)
		})
	}
	Convey("An instance that does not report after the pause counts as lost once it is over", t, func() {
		f := newReadyPair()
		f.agents["d.0"].dead = true
		f.now = f.now.Add(20 * dragonflyduration.Second)
		f.advance(6)
		assertReady(f)
	})
}

// TestLateReports guards against a report that an instance of control held up, while the
// agent reported through another one, and that counts as the present state.
func TestLateReports(t *testing.T) {
	reported := func(f *fleet, r dragonflyreport.Report) {
		f.step(dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Reported, Report: r})
	}
	for name, edit := range map[string]func(r *dragonflyreport.Report){
		"of a member from before the group formed": func(r *dragonflyreport.Report) { r.Membership, r.Group, r.Fence = dragonflyreport.Free, 0, 0 },
		"of a dead engine":                         func(r *dragonflyreport.Report) { r.Alive = false },
		"of an earlier start of the agent": func(r *dragonflyreport.Report) {
			r.Incarnation, r.Sequence, r.Membership, r.Group, r.Fence = 0, 99, dragonflyreport.Free, 0, 0
		},
	} {
		Convey("A late report "+name+" changes nothing", t, func() {
			f := newReadyPair()
			present := f.agents["d.1"].reportAsHead(f)
			present.Sequence = 7
			reported(f, present)
			late := present
			late.Sequence = 6
			edit(&late)
			reported(f, late)
			assertReady(f, []string{"d.0", "d.1"})
			f.acts = nil
			f.now = f.now.Add(halfSecond)
			f.step(dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Tick})
			So(f.acts, ShouldBeEmpty)
			assertReady(f, []string{"d.0", "d.1"})
		})
	}
	Convey("Reports of a new start, or of an agent that does not number them, are taken", t, func() {
		for _, change := range []func(r *dragonflyreport.Report){
			func(r *dragonflyreport.Report) { r.Incarnation, r.Sequence = 2, 1 },
			func(r *dragonflyreport.Report) { r.Sequence = 0 },
		} {
			f := newReadyPair()
			r := f.agents["d.1"].reportAsHead(f)
			r.Sequence = 7
			reported(f, r)
			change(&r)
			r.Alive = false
			reported(f, r)
			assertReady(f)
		}
	})
	Convey("A start whose clock lies behind that of the one before is taken once that one is silent", t, func() {
		f := newReadyPair()
		r := f.agents["d.1"].reportAsHead(f)
		r.Incarnation, r.Membership, r.Group, r.Fence = 0, dragonflyreport.Free, 0, 0
		f.agents["d.1"].dead = true
		f.advance(8)
		reported(f, r)
		So(f.d.Reports()[1], ShouldResemble, r)
	})
}
