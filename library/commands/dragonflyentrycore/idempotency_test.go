package dragonflyentrycore_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/commands/dragonflycluster"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyentryaction"
	"dragonflyrelay.example/library/values/dragonflyentryevent"
	"dragonflyrelay.example/library/values/dragonflyresult"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// fakeControl is the control plane that all drivers share. It is backed by the real
// state machine, but rejects changes and loses changes and results at random.
type fakeControl struct {
	t       *rapid.T
	cluster dragonflycluster.Cluster
}

func (c *fakeControl) propose(ch dragonflychange.Change) dragonflyresult.Result {
	fault := rapid.SampledFrom([]string{"", "", "", "not-run", "lost before", "lost after"}).Draw(c.t, "control")
	switch fault {
	case "not-run":
		return dragonflyresult.Result{Outcome: dragonflyresult.NotRun}
	case "lost before":
		return dragonflyresult.Result{Outcome: dragonflyresult.Unavailable}
	}
	next, r := c.cluster.Apply(ch)
	c.cluster = next
	if fault == "lost after" {
		return dragonflyresult.Result{Outcome: dragonflyresult.Unavailable}
	}
	if r.Outcome == dragonflyresult.Invalid && ch.Kind == dragonflychange.Claim {
		c.t.Fatalf("the claim is invalid: %s", r.Message)
	}
	return r
}

// serve applies the changes that d has proposed since the previous call.
func (c *fakeControl) serve(d *driver) {
	acts := d.acts
	d.acts = nil
	for _, a := range acts {
		if a.Kind == dragonflyentryaction.Propose {
			d.proposed(a.Request, c.propose(a.Change))
		}
	}
}

func TestIdempotencyKeys(t *testing.T) {
	Convey("A call with an idempotency key that is sent to several entries runs at most once under random faults", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			a, c := &fakeAgents{t: t, runs: map[string]int{}}, &fakeControl{t: t}
			drivers := []*driver{newDriver(service(1), service(2)), newDriver(service(1), service(2)), newDriver(service(1), service(2))}
			const calls = 6
			for i := range calls {
				d := drivers[rapid.IntRange(0, 2).Draw(t, "entry")]
				id := fmt.Sprint(i)
				d.begin(id, func(ev *dragonflyentryevent.Event) { claimed(ev); ev.Deadline = 5 * dragonflyduration.Second })
				runTicks(a, c, drivers, rapid.IntRange(0, 40).Draw(t, "ticks"))
				if rapid.IntRange(0, 5).Draw(t, "vanish") == 0 {
					d.step(dragonflyentryevent.Event{Kind: dragonflyentryevent.Disconnect, Request: id})
				}
			}
			runTicks(a, c, drivers, 900) // longer than changes are resent
			runs := 0
			for _, n := range a.runs {
				runs += n
			}
			if runs > 1 {
				t.Fatalf("the call ran %d times: %v", runs, a.runs)
			}
			for _, d := range drivers {
				checkOutcomes(t, a, d, runs)
			}
		})
	})
}

// runTicks runs the agents, the control plane and a tick of 50 ms, n times.
func runTicks(a *fakeAgents, c *fakeControl, drivers []*driver, n int) {
	for range n {
		for _, d := range drivers {
			a.serve(d)
			c.serve(d)
			d.advance(50 * ms)
		}
	}
}

// checkOutcomes fails if d reports an outcome that contradicts the runs, or if a
// request is left in progress.
func checkOutcomes(t *rapid.T, a *fakeAgents, d *driver, runs int) {
	if n := d.core.InFlight(); n != 0 {
		t.Fatalf("%d requests are still in progress", n)
	}
	for id, ends := range d.ends {
		stored := ends[0].Result.Outcome == dragonflyresult.ClaimStored
		switch {
		case len(ends) != 1:
			t.Fatalf("%s ended %d times", id, len(ends))
		case ends[0].Outcome == dragonflyentryaction.NotRun && a.runs[id] > 0:
			t.Fatalf("%s ran, but its outcome is NotRun", id)
		case (stored || ends[0].Outcome == dragonflyentryaction.Completed) && runs != 1:
			t.Fatalf("%s was answered after %d runs", id, runs)
		}
	}
}
