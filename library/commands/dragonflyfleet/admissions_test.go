package dragonflyfleet_test

import (
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyfleet"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyfleetevent"
	"dragonflyrelay.example/library/values/dragonflymodeldemand"
	. "github.com/smartystreets/goconvey/convey"
)

// TestAdmissions guards against decisions by a leader that not all entries have reported to,
// and without the setting.
func TestAdmissions(t *testing.T) {
	overload := []dragonflymodeldemand.Demand{
		{Service: "s", Model: "m", Rank: 0, Work: 600, Refused: 200, Delay: 0.9},
		{Service: "s", Model: "m", Rank: 1, Work: 400, Refused: 100, Delay: 0.9},
	}
	// run returns the first time after the election at which there is a decision, and the
	// fleet after a time of reports every 0.5 s.
	run := func(f dragonflyfleet.Fleet, lasts dragonflyduration.Duration) (first dragonflyduration.Duration, _ dragonflyfleet.Fleet) {
		step := func(at dragonflyduration.Duration, ev dragonflyfleetevent.Event) {
			f, _ = f.Step(dragonflyinstant.Instant(at)+1, ev)
		}
		step(0, dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Led, Term: 1})
		for at := dragonflyduration.Duration(0); at < lasts; at += 100 * dragonflyduration.Millisecond {
			if at%(500*dragonflyduration.Millisecond) == 0 {
				step(at, dragonflyfleetevent.Event{Kind: dragonflyfleetevent.EntryConnected, Process: "e", EntryTerm: 1, Demands: overload})
				// A report of losses between two others has no demands.
				step(at, dragonflyfleetevent.Event{Kind: dragonflyfleetevent.EntryConnected, Process: "e", EntryTerm: 1})
			}
			step(at, dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Tick})
			if first == 0 && len(f.Admissions()) > 0 {
				first = at
			}
		}
		return first, f
	}
	Convey("A leader decides once all have had time to report, and a follower nothing", t, func() {
		first, f := run(dragonflyfleet.Fleet{}.WithAdmissionByRank(true), 6*dragonflyduration.Second)
		So(first, ShouldBeBetween, dragonflyfleet.ReportWindow, dragonflyfleet.ReportWindow+dragonflyduration.Second)
		So(f.Admissions(), ShouldHaveLength, 1)
		f, _ = f.Step(dragonflyinstant.Instant(6*dragonflyduration.Second), dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Followed})
		So(f.Admissions(), ShouldBeEmpty)
		first, _ = run(f, 6*dragonflyduration.Second)
		So(first, ShouldBeGreaterThan, 0)
	})
	Convey("Without the setting nothing is decided", t, func() {
		first, _ := run(dragonflyfleet.Fleet{}, 6*dragonflyduration.Second)
		So(first, ShouldEqual, 0)
	})
}
