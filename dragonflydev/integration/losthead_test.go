package dragonflyintegration_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	// callInterval is the time between two streams of callers. The engines are far from
	// being full.
	callInterval = 40 * time.Millisecond
	// concurrentDeployments bounds the deployments at a time. With more of them, leaders of
	// control change because their processes get too little processor time.
	concurrentDeployments = 5
	// longCut is longer than control waits for a head of which nothing arrives.
	longCut = 20 * time.Second
	// reuseBound is the time from the loss of a machine for good until the other engines of
	// its group serve again.
	reuseBound = 20 * time.Second
	// starvedTime covers several polls of an agent.
	starvedTime = 2 * time.Second
	// settleTime is the time after a fault in which orders that follow from it arrive.
	settleTime = 3 * time.Second
)

// lostHead is a fault by which control loses sight of the head of a group that is at work,
// or that has stopped for good.
type lostHead struct {
	name string
	// inject brings the fault about and ends it. The engine head is the head of a group,
	// members are the other ones of that group.
	inject func(d *processDeployment, head string, members []string)
	// agentProcesses is set if agents are processes, so that they can stand still.
	agentProcesses bool
	// unserved is set if callers may be refused meanwhile.
	unserved bool
	// lost is set if the head has stopped for good.
	lost bool
}

// assertHeadsAlone checks that no engine has joined another group while the head of its
// group was at work.
func assertHeadsAlone(d *processDeployment) { So(d.fleet.Violations(), ShouldBeEmpty) }

// assertServed checks that nearly all callers have been answered whole.
func assertServed(whole, all int) { So(whole, ShouldBeGreaterThan, all*9/10) }

// assertTwoGroups checks that two groups serve again within the given time, and that a head
// that is lost is in none of them.
func assertTwoGroups(d *processDeployment, within time.Duration, lost string) {
	began := time.Now()
	ok := d.eventually(within, func() bool { return len(d.fleet.Heads()) >= 2 })
	d.note("two groups after %.1f s: %t", time.Since(began).Seconds(), ok)
	So(ok, ShouldBeTrue)
	So(d.fleet.Heads(), ShouldNotContain, lost)
}

// TestLostHeads guards against members of a head that control no longer hears of joining
// another group while that head is at work, and against engines that stay unused after the
// head of their group is lost for good.
func TestLostHeads(t *testing.T) {
	cases := []lostHead{
		{name: "cut off for long", agentProcesses: true, inject: func(d *processDeployment, head string, _ []string) {
			d.cutOffFor(longCut, head)
		}},
		{name: "cut off in series", inject: func(d *processDeployment, head string, _ []string) {
			for range 3 {
				d.cutOffFor(9*time.Second, head)
				time.Sleep(400 * time.Millisecond)
			}
		}},
		{name: "agent killed, heartbeats arrive", inject: func(d *processDeployment, head string, _ []string) {
			d.killAgent(head)
			time.Sleep(longCut)
		}},
		{name: "agent killed, heartbeats lost", inject: func(d *processDeployment, head string, _ []string) {
			d.killAgent(head)
			d.cutOffFor(longCut, head)
		}},
		{name: "agent stands still, heartbeats arrive", agentProcesses: true, inject: func(d *processDeployment, head string, _ []string) {
			d.pauseFor(longCut, d.agent(head))
		}},
		{name: "agent stands still, heartbeats lost", agentProcesses: true, inject: func(d *processDeployment, head string, _ []string) {
			d.fleet.CutOff(head, true)
			d.pauseFor(longCut, d.agent(head))
			d.fleet.CutOff(head, false)
		}},
		{name: "agent starved", inject: func(d *processDeployment, head string, _ []string) {
			d.note("polls of %s time out", head)
			d.starve(d.address(head), true)
			time.Sleep(starvedTime)
			d.starve(d.address(head), false)
		}},
		{name: "machine stands still", agentProcesses: true, inject: func(d *processDeployment, head string, _ []string) {
			d.note("%s stands still", head)
			d.fleet.StandStill(head, longCut, 0)
			d.pauseFor(longCut, d.agent(head))
		}},
		{name: "cut off, and the leader is lost", inject: func(d *processDeployment, head string, _ []string) {
			d.cutOff(true, head)
			time.Sleep(3 * time.Second)
			d.note("stop the leader")
			d.stopLeader()
			time.Sleep(longCut)
			d.cutOff(false, head)
		}},
		{name: "domain cut off, members back first", inject: func(d *processDeployment, _ string, members []string) {
			d.cutOff(true, d.engines()...)
			time.Sleep(longCut)
			d.cutOff(false, members...)
			time.Sleep(2 * time.Second)
			d.cutOff(false, d.engines()...)
		}},
		{name: "control stands still", agentProcesses: true, unserved: true, inject: func(d *processDeployment, _ string, _ []string) {
			d.pauseFor(longCut, d.control()...)
		}},
		{name: "machine lost for good", lost: true, inject: func(d *processDeployment, head string, _ []string) {
			d.note("%s is lost", head)
			d.fleet.Lose(head)
			d.killAgent(head)
		}},
		{name: "engine crashed", lost: true, inject: func(d *processDeployment, head string, _ []string) {
			d.note("%s crashes", head)
			d.fleet.Crash(head)
		}},
		{name: "engine stands still with a short queue", agentProcesses: true, inject: func(d *processDeployment, head string, _ []string) {
			d.note("%s stands still", head)
			d.fleet.StandStill(head, 8*time.Second, 5)
			time.Sleep(8 * time.Second)
		}},
		{name: "agent cut off while the engine is unreachable", inject: func(d *processDeployment, head string, _ []string) {
			// The report that the engine is unreachable is sent again after the cut, when it
			// no longer is.
			d.note("%s stands still", head)
			d.fleet.StandStill(head, 1500*time.Millisecond, 5)
			time.Sleep(300 * time.Millisecond)
			d.cutOffAgent(true, head)
			time.Sleep(6 * time.Second)
			d.cutOffAgent(false, head)
		}},
		{name: "engine stands still with a longer queue", inject: func(d *processDeployment, head string, _ []string) {
			d.note("%s stands still", head)
			d.fleet.StandStill(head, longCut, 150)
			time.Sleep(longCut)
		}},
	}
	running := make(chan struct{}, concurrentDeployments)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			running <- struct{}{}
			defer func() { <-running }()
			Convey("Given a deployment with two groups, of one of which the head is lost: "+c.name, t, func() {
				d := newProcessDeployment(t, 8, 2, c.agentProcesses)
				So(d.eventually(10*time.Second, func() bool { return len(d.fleet.Heads()) == 2 }), ShouldBeTrue)
				head := d.fleet.Heads()[0]
				members := d.fleet.Members(head)
				d.note("case %s: head %s at %s, members %v", c.name, head, d.address(head), members)

				Convey("its members join no other group while it is at work", func() {
					end := d.callers()
					c.inject(d, head, slices.DeleteFunc(members, func(id string) bool { return id == head }))
					if c.lost {
						assertTwoGroups(d, reuseBound, head)
					}
					time.Sleep(settleTime)
					whole, all := end()
					d.note("%d of %d calls answered whole; violations: %q", whole, all, d.fleet.Violations())
					assertHeadsAlone(d)
					if !c.unserved {
						assertServed(whole, all)
					}
					if !c.lost {
						assertTwoGroups(d, reuseBound, "")
					}
				})
			})
		})
	}
}
