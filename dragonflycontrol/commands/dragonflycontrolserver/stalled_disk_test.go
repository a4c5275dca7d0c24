package dragonflycontrolserver_test

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dragonflyrelay.example/library/commands/dragonflyconsensus"
	"dragonflyrelay.example/library/values/dragonflyresult"
	. "github.com/smartystreets/goconvey/convey"
)

// stallable is the disk of an instance that answers neither writes nor syncs while it is
// stalled.
type stallable struct {
	mu     sync.Mutex
	answer chan struct{} // closed when the disk answers again; nil if it answers
	waits  atomic.Int32  // operations that the disk has not answered at first
}

func (d *stallable) stall() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answer = make(chan struct{})
}

func (d *stallable) recover() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.answer != nil {
		close(d.answer)
		d.answer = nil
	}
}

func (d *stallable) wait() {
	d.mu.Lock()
	answer := d.answer
	d.mu.Unlock()
	if answer != nil {
		d.waits.Add(1)
		<-answer
	}
}

// newStallables returns three instances and their disks.
func newStallables(t *testing.T) (controls []*control, disks map[*control]*stallable) {
	controls, disks = newControls(t, 3), map[*control]*stallable{}
	for _, c := range controls {
		disks[c] = newStallable(c)
	}
	return controls, disks
}

// newStallable returns the disk of c.
func newStallable(c *control) *stallable {
	d := &stallable{}
	c.server.Write = func(f *os.File, p []byte) (int, error) {
		d.wait()
		return f.Write(p)
	}
	c.server.Sync = func(f *os.File) error {
		d.wait()
		return f.Sync()
	}
	Reset(d.recover)
	return d
}

// proposeMany proposes n changes of an old version at c, 64 at a time, and returns the number of those that
// were not run.
func proposeMany(c *control, n int) (refused int) {
	var next, notRun atomic.Int64
	var all sync.WaitGroup
	for range 64 {
		all.Go(func() {
			for i := next.Add(1); i <= int64(n); i = next.Add(1) {
				r, err := c.propose(setZone(fmt.Sprint("many-", i), 0, "zona-b", true))
				if err != nil || r.Outcome == dragonflyresult.NotRun {
					notRun.Add(1)
				}
			}
		})
	}
	all.Wait()
	return int(notRun.Load())
}

// assertAccepts asserts that c accepts a change within d of which it is asked again and
// again.
func assertAccepts(c *control, id string, base uint64, d time.Duration) {
	deadline := time.Now().Add(d)
	for {
		r, err := c.propose(setZone(id, base, "zona-a", base%2 == 0))
		if err == nil && r.Outcome == dragonflyresult.Accepted {
			return
		}
		if time.Now().After(deadline) {
			So(fmt.Sprint(id, " at ", c.server.Settings.Instance, ": ", r, " ", err), ShouldBeEmpty)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestStalledDisk guards against changes that are refused to the end of the day, while all
// processes run, because the disk of the leader neither carries out nor refuses a write.
func TestStalledDisk(t *testing.T) {
	for _, writes := range []int{1, dragonflyconsensus.MaxUnsyncedWrites + 100} {
		Convey(fmt.Sprintf("Given a leader whose disk does not answer while %d changes are proposed", writes), t, func() {
			controls, disks := newStallables(t)
			startAll(t, controls)
			old := assertLeader(controls)
			assertAccepted(old, setZone("c1", 0, "zona-a", true), 1)
			disks[old].stall()
			t.Log(proposeMany(old, writes), "of", writes, "changes were refused")

			Convey("each instance accepts changes, as long as the disk does not answer", func() {
				for i, c := range controls {
					assertAccepts(c, fmt.Sprint("during-", i), uint64(i+1), 6*time.Second)
				}
				rest := others(controls, old)
				assertWithin(6*time.Second, func() bool { return leaderReady(rest[0])() || leaderReady(rest[1])() })
				assertAccepts(old, "after", 4, 4*time.Second)
				disks[old].recover()
				assertVersion(controls, 5)
			})
			Convey("each instance accepts changes after the disk has answered again, some seconds later", func() {
				time.Sleep(5 * time.Second)
				disks[old].recover()
				for i, c := range controls {
					assertAccepts(c, fmt.Sprint("after-", i), uint64(i+1), 4*time.Second)
				}
				assertVersion(controls, 4)
			})
			disks[old].recover()
			stopAll(controls)
		})
	}
}
