package dragonflyfleet_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyenginegroup"
	"dragonflyrelay.example/library/values/dragonflyfleetevent"
	"dragonflyrelay.example/library/values/dragonflyobservation"
	"dragonflyrelay.example/library/values/dragonflyserverorder"
	"pgregory.net/rapid"
)

// lateOrder is an order that the engine carries out without an answer at a later time, if it
// has accepted no other one since.
type lateOrder struct {
	at       dragonflyinstant.Instant
	expected uint64
	order    dragonflyserverorder.Order
}

// randomFaults draws faults of a simulation.
type randomFaults struct {
	*simulation
	rt      *rapid.T
	term    uint64
	outZone string
}

func (f *randomFaults) engine() *engine {
	return f.engines[rapid.IntRange(0, len(f.engines)-1).Draw(f.rt, "engine")]
}

func (f *randomFaults) seconds(least, most int) dragonflyduration.Duration {
	return dragonflyduration.Duration(rapid.IntRange(least*10, most*10).Draw(f.rt, "tenths")) * second / 10
}

// apply brings about one fault, or undoes one.
func (f *randomFaults) apply() {
	switch kind := rapid.SampledFrom([]string{
		"cut", "cut", "heal", "domain", "domain", "agent", "agent", "crash", "dark", "starve", "beats", "restart", "pause", "resume", "leader", "standstill", "drain", "late", "none",
		"late domain", "new id", "new agent", "stale", "reports first", "zone", "flap",
	}).Draw(f.rt, "fault"); kind {
	case "cut":
		f.engine().cut = true
	case "heal":
		setCut(false, f.engines...)
	case "domain":
		setCut(rapid.Bool().Draw(f.rt, "cut"), f.domain(rapid.SampledFrom([]string{"a", "b"}).Draw(f.rt, "domain"))...)
	case "agent":
		e := f.engine()
		e.agentGone = !e.agentGone
	case "crash":
		f.engine().unreachable = true
	case "dark":
		e := f.engine()
		e.unreachable, e.dark = true, true
	case "starve":
		e := f.engine()
		e.starved = !e.starved
	case "restart":
		f.restart(f.engine())
	case "pause":
		f.engine().paused = true
	case "resume":
		f.engine().paused = false
	case "leader":
		f.skip(f.seconds(0, 5))
		f.term++
		f.lead(f.term)
	case "standstill":
		f.skip(f.seconds(1, 30))
	case "drain":
		f.engine().obs.State = dragonflyobservation.Draining
	case "late":
		e := f.engine()
		e.slowOrders = !e.slowOrders
	case "late domain":
		slow := rapid.Bool().Draw(f.rt, "slow")
		for _, e := range f.domain(rapid.SampledFrom([]string{"a", "b"}).Draw(f.rt, "domain")) {
			e.slowOrders = slow
		}
	case "beats":
		e := f.engine()
		e.beatsLost = !e.beatsLost
	case "new id":
		e := f.engine()
		f.restart(e)
		e.obs.ID += "x"
	case "new agent":
		e := f.engine()
		e.reporter, e.reports, e.polled = e.reporter+1, 0, dragonflyenginegroup.Group{}
	case "stale":
		f.sendOld(f.engine())
	case "reports first":
		f.skip(f.seconds(1, 30))
		for _, e := range f.engines {
			f.report(e)
		}
	case "zone":
		f.outZone = rapid.SampledFrom([]string{"", "a", "b"}).Draw(f.rt, "zone")
		f.setOutZone()
	case "flap":
		e := f.engine()
		for range 8 {
			e.cut = !e.cut
			f.advance(f.seconds(0, 5))
		}
		e.cut = false
	}
}

// sendOld makes a report of the agent beside e, of its present or its former start, arrive again.
func (f *randomFaults) sendOld(e *engine) {
	var old []dragonflyobservation.Observation
	for _, o := range e.history {
		if o.Reporter+1 >= e.reporter {
			old = append(old, o)
		}
	}
	if len(old) > 0 {
		f.observe(old[rapid.IntRange(0, len(old)-1).Draw(f.rt, "report")])
	}
}

func (f *randomFaults) setOutZone() {
	f.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.DocumentReceived, Document: testDocument(), OutZones: []string{f.outZone}})
}

// skip lets d pass while control does not run.
func (f *randomFaults) skip(d dragonflyduration.Duration) {
	f.now = f.now.Add(d)
	for _, e := range f.engines {
		f.age(e, d)
	}
}

// restart starts a crashed or paused engine anew, or a sound one.
func (f *randomFaults) restart(e *engine) {
	e.obs.Boot++
	e.obs.Sequence, e.obs.Orders, e.obs.State, e.obs.Model = 0, 0, dragonflyobservation.Ready, ""
	e.obs.Group, e.former = dragonflyenginegroup.Group{}, dragonflyenginegroup.Group{}
	e.unreachable, e.dark, e.paused, e.late, e.fence = false, false, false, nil, 0
}

// play advances the simulation with an entry that reports the answers of heads at work.
func (f *randomFaults) play(d dragonflyduration.Duration, withEntry bool) {
	for range int(d / (second / 2)) {
		f.advance(second / 2)
		for _, e := range f.engines {
			if withEntry && e.obs.Group.State == dragonflyenginegroup.Open && e.incomplete == 0 && !e.paused && !e.unreachable {
				f.contact("e1", e.obs.ID)
			}
		}
	}
}

// heal undoes all faults.
func (f *randomFaults) heal() {
	f.outZone = ""
	f.setOutZone()
	for _, e := range f.engines {
		e.cut, e.agentGone, e.paused, e.slowOrders, e.starved, e.beatsLost = false, false, false, false, false, false
		if e.unreachable || e.obs.State != dragonflyobservation.Ready {
			f.restart(e)
		}
	}
}

// TestRandomHeads guards against engines that join another group while the head of their
// group is at work, and against groups that do not form again after the faults.
func TestRandomHeads(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := &randomFaults{simulation: newSimulation(5), rt: rt, term: 1}
		f.reverse = rapid.Bool().Draw(rt, "reverse")
		for _, e := range f.engines {
			e.reporter = 1
		}
		f.advance(f.seconds(0, 8)) // Faults may begin before the first groups have formed.
		withEntry := rapid.Bool().Draw(rt, "entry")
		for range rapid.IntRange(1, 8).Draw(rt, "faults") {
			f.apply()
			f.play(f.seconds(0, 20), withEntry)
		}
		f.heal()
		f.play(40*second, false)
		if len(f.violations) > 0 {
			rt.Fatalf("violations: %v", f.violations)
		}
		if heads := f.servingHeads(); len(heads) < 2 {
			rt.Fatalf("serving heads %v, engines %s", heads, f.describe())
		}
	})
}

func (s *simulation) describe() (text string) {
	for _, e := range s.engines {
		text += fmt.Sprintf("%s %v; ", e.obs.ID, e.obs.Group)
	}
	return text
}
