package dragonflycontrolserver_test

import (
	"os"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// stallingSync is the time of a sync of a stalling disk. It is longer than the time after which
// a candidate tries again, and does not depend on the disk of the machine.
const stallingSync = 600 * time.Millisecond

// TestElectionWithSlowSyncs guards against elections that begin anew before the votes are
// synced. The other tests of elections use the disk of the machine.
func TestElectionWithSlowSyncs(t *testing.T) {
	Convey("Instances whose syncs take 600 ms elect another leader within 2 s and three syncs", t, func() {
		controls := newControls(t, 3)
		var slow atomic.Bool
		for _, c := range controls {
			c.server.Sync = func(*os.File) error {
				if slow.Load() {
					time.Sleep(stallingSync)
				}
				return nil
			}
		}
		l := connectThroughProxies(t, controls)
		startAll(t, controls)
		old := assertLeader(controls)
		slow.Store(true)
		So(l.isolate(old.server.Settings.Instance, true), ShouldBeNil)
		rest := others(controls, old)
		assertWithin(2*time.Second+3*stallingSync, func() bool { return leaderReady(rest[0])() || leaderReady(rest[1])() })
		assertAccepted(assertLeader(rest), setZone("c1", 0, "zona-b", true), 1)
		So(l.isolate(old.server.Settings.Instance, false), ShouldBeNil)
		slow.Store(false)
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
