package dragonflyintegration_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	// spreadTime is the time from the fifth crash until all entries refuse the part.
	spreadTime = 3 * time.Second
	// lateArrivals is the number of requests with the part that may still reach engines.
	lateArrivals = 3
)

// promptCallers send deadly and sound requests with the same first part through all
// entries until their deployment ends.
type promptCallers struct {
	mu    sync.Mutex
	sound []bool // whether each sound request since the last reset was answered whole
}

// run sends a deadly request every deadlyInterval and a sound one every 50 ms, for the
// given time.
func (p *promptCallers) run(d *deployment, length time.Duration) {
	var calls sync.WaitGroup
	for i, end := 0, time.Now().Add(length); time.Now().Before(end); i++ {
		entry := i % len(d.entries)
		calls.Go(func() {
			whole := d.call(entry, fmt.Sprintf("s%d", i), fmt.Sprintf("a1:40,%x:100", i)).complete
			p.mu.Lock()
			p.sound = append(p.sound, whole)
			p.mu.Unlock()
		})
		if i%8 == 0 {
			calls.Go(func() {
				d.call((entry+i/8)%len(d.entries), fmt.Sprintf("d%d", i), fmt.Sprintf("a1:40,dead:60,%x:100", i))
			})
		}
		time.Sleep(50 * time.Millisecond)
	}
	calls.Wait()
}

// assertFewLate checks that hardly any request with the deadly part reaches engines after begin and
// once the fifth crash is known everywhere.
func assertFewLate(d *deployment, begin time.Time) {
	arrivals, crashes := d.fleet.Deadly()
	So(len(crashes), ShouldBeGreaterThanOrEqualTo, 5)
	late := 0
	for _, at := range arrivals {
		if at.After(crashes[4].Add(spreadTime)) && at.After(begin) {
			late++
		}
	}
	So(late, ShouldBeLessThanOrEqualTo, lateArrivals)
}

// setDeadly lets the part "dead" crash the engines that begin to answer it, which come back.
func (d *deployment) setDeadly() {
	d.fleet.SetDeadly("dead", func(id string) {
		time.AfterFunc(restartTime, func() { d.startEngine(d.address(id)) })
	})
}

// sendDeadly sends n requests with the deadly part at once, no two alike.
func (d *deployment) sendDeadly(round, n int) {
	var calls sync.WaitGroup
	for i := range n {
		calls.Go(func() {
			name := fmt.Sprintf("%d-%d", round, i)
			d.callPath(i%len(d.entries), "/stream/"+name, "d"+name, fmt.Sprintf("a1:40,dead:60,%x:100", 1000*round+i))
		})
	}
	calls.Wait()
}

// TestCrashingBursts guards against a burst of deadly requests that counts as one crash, so that the
// next bursts reach engines too.
func TestCrashingBursts(t *testing.T) {
	Convey("Given six requests with a part that crashes engines at once, every six seconds", t, func() {
		d := newDeployment(t, 24, 3)
		d.setDeadly()
		for round := range 4 {
			begin := time.Now()
			d.sendDeadly(round, 6)
			time.Sleep(time.Until(begin.Add(6 * time.Second)))
		}

		Convey("those after the first burst are refused", func() {
			assertFewLate(d, time.Time{})
		})
	})
}

// TestQuarantineAfterRestart guards against a part that crashes engines again once all control
// instances and entries were killed at one moment.
func TestQuarantineAfterRestart(t *testing.T) {
	Convey("Given a part that is refused when control and the entries are killed", t, func() {
		d := newProcessDeployment(t, 12, 2, false)
		d.setDeadly()
		for round := range 4 {
			d.sendDeadly(round, 1)
			time.Sleep(2 * time.Second)
		}
		d.killAll()
		for i := range d.entries {
			So(d.eventually(20*time.Second, func() bool { return d.call(i, fmt.Sprintf("w%d-%d", i, time.Now().UnixNano()), "").complete }), ShouldBeTrue)
		}
		begin := time.Now()
		for round := range 8 {
			d.sendDeadly(10+round, 1)
			time.Sleep(500 * time.Millisecond)
		}

		Convey("requests with it are refused, until an operator releases it", func() {
			assertFewLate(d.deployment, begin)
			before, _ := d.fleet.Deadly()
			d.ctl("release", "dead")
			So(d.eventually(5*time.Second, func() bool {
				d.sendDeadly(int(time.Now().UnixNano()), 1)
				arrivals, _ := d.fleet.Deadly()
				return len(arrivals) > len(before)+1 // More than a probe.
			}), ShouldBeTrue)
		})
	})
}

// assertContained checks that hardly any request with the deadly part reaches engines once
// the fifth crash is known everywhere, and that sound requests are answered.
func (p *promptCallers) assertContained(d *deployment) {
	arrivals, crashes := d.fleet.Deadly()
	So(crashes, ShouldNotBeEmpty)
	late := 0
	for _, at := range arrivals {
		if len(crashes) >= 5 && at.After(crashes[4].Add(spreadTime)) {
			late++
		}
	}
	So(late, ShouldBeLessThanOrEqualTo, lateArrivals)
	p.mu.Lock()
	defer p.mu.Unlock()
	whole := 0
	last := p.sound[len(p.sound)/2:]
	for _, ok := range last {
		if ok {
			whole++
		}
	}
	So(whole, ShouldBeGreaterThan, len(last)/2)
}

// TestCrashingPromptPart guards against a part of a prompt that crashes one engine after
// the other because every entry keeps forwarding it.
func TestCrashingPromptPart(t *testing.T) {
	Convey("Given a deployment with a part of prompts that crashes engines", t, func() {
		d := newDeployment(t, 7, 2)
		d.fleet.SetDeadly("dead", func(id string) {
			time.AfterFunc(500*time.Millisecond, func() { d.startEngine(d.address(id)) })
		})
		var p promptCallers

		Convey("requests with the part stop reaching engines, and sound ones are served", func() {
			p.run(d, 12*time.Second)
			p.assertContained(d)
		})
	})
}
