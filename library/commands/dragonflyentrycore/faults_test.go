package dragonflyentrycore_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyentryaction"
	"dragonflyrelay.example/library/values/dragonflyentryevent"
	"dragonflyrelay.example/library/values/dragonflyframe"
	"dragonflyrelay.example/library/values/dragonflywork"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// fakeAgents runs the requests that several drivers send, injects random faults and
// counts the runs of each request.
type fakeAgents struct {
	t    *rapid.T
	runs map[string]int
}

// serve answers all pending Send actions of d in random order.
func (a *fakeAgents) serve(d *driver) {
	sends := d.sends
	d.sends = nil
	if len(sends) > 1 {
		sends = rapid.Permutation(sends).Draw(a.t, "order")
	}
	for _, s := range sends {
		a.answer(d, s)
	}
}

func (a *fakeAgents) answer(d *driver, s dragonflyentryaction.Action) {
	fault := rapid.SampledFrom([]string{"", "", "", "refused", "lost", "silent", "hang", "late"}).Draw(a.t, "fault")
	at := s.Work.Attempt
	switch fault {
	case "refused":
		d.frame(s.Request, dragonflyframe.Frame{Kind: dragonflyframe.Refused, Attempt: at, Reason: "overloaded"})
		return
	case "silent":
		return
	}
	a.runs[s.Request]++
	if fault == "hang" {
		return
	}
	if s.Work.Kind == dragonflywork.Call {
		a.answerCall(d, s, fault)
		return
	}
	for i := len(s.Work.Delivered); i < s.Work.MaxTokens; i++ {
		if fault == "lost" && rapid.Bool().Draw(a.t, "cut") {
			d.frame(s.Request, dragonflyframe.Frame{Kind: dragonflyframe.Failed, Attempt: at, MayHaveRun: true, Reason: "connection-lost"})
			return
		}
		d.frame(s.Request, token(at, i))
		if fault == "late" {
			d.frame(s.Request, token(at-1, i+1))
		}
	}
	d.frame(s.Request, dragonflyframe.Frame{Kind: dragonflyframe.Done, Attempt: at, Index: s.Work.MaxTokens})
}

func (a *fakeAgents) answerCall(d *driver, s dragonflyentryaction.Action, fault string) {
	d.frame(s.Request, dragonflyframe.Frame{Kind: dragonflyframe.Started, Attempt: s.Work.Attempt})
	f := dragonflyframe.Frame{Kind: dragonflyframe.Response, Attempt: s.Work.Attempt, Status: 201}
	if fault == "lost" {
		f = dragonflyframe.Frame{Kind: dragonflyframe.Failed, Attempt: s.Work.Attempt, MayHaveRun: true, Reason: "connection-lost"}
	}
	d.frame(s.Request, f)
}

// checkEnd fails unless there is exactly one end, whose outcome agrees with the runs
// and whose answer, if it is reported as complete, has all tokens.
func (a *fakeAgents) checkEnd(id string, ends []dragonflyentryaction.Action, isCall bool) {
	if len(ends) != 1 {
		a.t.Fatalf("%s ended %d times", id, len(ends))
	}
	end, runs := ends[0], a.runs[id]
	switch {
	case isCall && runs > 1:
		a.t.Fatalf("call %s ran %d times", id, runs)
	case end.Outcome == dragonflyentryaction.NotRun && runs > 0:
		a.t.Fatalf("%s ran %d times, but its outcome is NotRun", id, runs)
	case end.Outcome == dragonflyentryaction.Completed && !isCall && fmt.Sprint(end.Tokens.Items()) != "[0 1 2 3]":
		a.t.Fatalf("%s got %v", id, end.Tokens.Items())
	}
}

func TestManyEntries(t *testing.T) {
	Convey("Several entries end every request once and with its true outcome under random faults", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			a := &fakeAgents{t: t, runs: map[string]int{}}
			var drivers []*driver
			for range 3 {
				drivers = append(drivers, newDriver(group(1), group(2), group(3), service(1), service(2)))
			}
			var ids []string
			for i := range rapid.IntRange(1, 20).Draw(t, "requests") {
				id := fmt.Sprintf("%02d", i)
				ids = append(ids, id)
				set := func(ev *dragonflyentryevent.Event) { ev.Deadline = 20 * dragonflyduration.Second }
				if i%2 == 1 {
					set = func(ev *dragonflyentryevent.Event) { call(ev); ev.Deadline = 20 * dragonflyduration.Second }
				}
				drivers[i%3].begin(id, set)
			}
			for range 600 {
				for _, d := range drivers {
					a.serve(d)
					d.advance(50 * ms)
				}
			}
			for i, id := range ids {
				a.checkEnd(id, drivers[i%3].ends[id], i%2 == 1)
				if n := drivers[i%3].core.InFlight(); n != 0 {
					t.Fatalf("%d requests are still in progress", n)
				}
			}
		})
	})
}
