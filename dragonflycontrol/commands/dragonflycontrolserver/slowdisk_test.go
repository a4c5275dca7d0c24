package dragonflycontrolserver_test

import (
	"os"
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
