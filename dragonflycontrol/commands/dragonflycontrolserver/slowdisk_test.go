package dragonflycontrolserver_test

import (
	"os"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// syncTime is the time of a sync of a busy disk. It does not depend on the disk of the
// machine that runs the test.
const syncTime = 200 * time.Millisecond

// slowControls returns three instances that are connected through proxies and whose syncs
// take d.
func slowControls(t *testing.T, d time.Duration) ([]*control, links) {
	controls := newControls(t, 3)
	for _, c := range controls {
		c.server.Sync = func(*os.File) error {
			time.Sleep(d)
			return nil
		}
	}
	return controls, connectThroughProxies(t, controls)
}

// TestElectionWithSlowSyncs guards against elections that wait for more syncs than they
// need. The other tests of elections use the disk of the machine.
func TestElectionWithSlowSyncs(t *testing.T) {
	Convey("Instances whose syncs take 200 ms elect a leader within 2 s, and another one after its isolation", t, func() {
		controls, l := slowControls(t, syncTime)
		startAll(t, controls)
		old := assertLeader(controls)
		So(l.isolate(old.server.Settings.Instance, true), ShouldBeNil)
		next := assertLeader(others(controls, old))
		assertAccepted(next, setZone("c1", 0, "zona-b", true), 1)
		So(l.isolate(old.server.Settings.Instance, false), ShouldBeNil)
		assertVersion(controls, 1)
		stopAll(controls)
	})
}

// TestHandoverWithSlowSyncs guards against a leader that ends when another instance has the
// votes, but not yet a quorum for the first entry of its term: the next leader then needs
// the disks of all that are left.
func TestHandoverWithSlowSyncs(t *testing.T) {
	Convey("Another instance is confirmed within 200 ms of the end of a leader, while syncs of the others take 300 ms", t, func() {
		controls := newControls(t, 3)
		var quick atomic.Pointer[control] // the leader that ends; before, all are quick
		for _, c := range controls {
			c.server.Sync = func(*os.File) error {
				if leader := quick.Load(); leader != nil && leader != c {
					time.Sleep(300 * time.Millisecond)
				}
				return nil
			}
		}
		startAll(t, controls)
		leader := assertLeader(controls)
		assertAccepted(leader, setZone("c1", 0, "zona-a", true), 1)
		quick.Store(leader)
		leader.stop()
		So(<-leader.ended, ShouldBeNil)
		rest := others(controls, leader)
		assertWithin(200*time.Millisecond, func() bool { return leaderReady(rest[0])() || leaderReady(rest[1])() })
		stopAll(rest)
	})
}
