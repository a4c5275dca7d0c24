package dragonflycontrolserver_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestStatus guards against a status that has the configuration of the leader beside the
// groups and the history of an instance that lags behind.
func TestStatus(t *testing.T) {
	Convey("While restarted instances catch up, each status shows one state", t, func() {
		const changes = 5
		controls := newControls(t, 3)
		startAll(t, controls)
		leader := assertLeader(controls)
		for i := range changes {
			assertAccepted(leader, setZone(fmt.Sprint("c", i), uint64(i), "zona-a", i%2 == 0), uint64(i+1))
		}
		for range 3 {
			stopAll(controls)
			for _, c := range controls {
				c.start(t)
			}
			var mixed []string
			for began := time.Now(); time.Since(began) < 1500*time.Millisecond; {
				for _, c := range controls {
					s, err := c.status()
					if err == nil && uint64(len(s.History)) != s.Config.Version() {
						mixed = append(mixed, fmt.Sprintf("version %d with %d changes", s.Config.Version(), len(s.History)))
					}
				}
			}
			So(mixed, ShouldBeEmpty)
		}
		assertVersion(controls, changes)
		stopAll(controls)
	})
}
