package dragonflycontrolserver_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"dragonflyrelay.example/library/common/dragonflylogstore"
	"dragonflyrelay.example/library/common/dragonflyrpcclient"
	. "github.com/smartystreets/goconvey/convey"
)

// byRole returns the leader and the followers.
func byRole(ps []*process) (leader *process, followers []*process) {
	assertWithin(10*time.Second, func() bool {
		leader, followers = nil, nil
		c := control{client: &dragonflyrpcclient.Client{Addr: fmt.Sprintf("%s:%d", ps[0].IP, ps[0].Port)}}
		defer c.client.Close()
		s, err := c.status()
		if err != nil {
			return false
		}
		for _, p := range ps {
			if p.IP == s.Leader {
				leader = p
			} else {
				followers = append(followers, p)
			}
		}
		return leader != nil
	})
	return leader, followers
}

// TestInterruptedInstall guards against the loss of an acknowledged document by a follower
// that was killed while its disk was full, after it had stored the snapshot of the leader
// and before it had replaced its log.
func TestInterruptedInstall(t *testing.T) {
	Convey("A document that such a follower stores after its restart survives the next one", t, func() {
		const entries = 40
		ps := startProcesses(t, entries)
		c := &deployment{port: ps[0].Port}
		c.callUntil(200, ps[0].IP, "PUT", "/config", routingDocument(1))
		leader, followers := byRole(ps)
		behind, third := followers[0], followers[1]

		behind.kill()
		version := 1
		for range entries + 5 {
			version++
			c.callUntil(200, leader.IP, "PUT", "/config", routingDocument(version))
		}
		behind.refuse(refusesLogRenames)
		behind.start()
		assertWithin(10*time.Second, func() bool {
			_, err := os.Stat(filepath.Join(behind.Dir, dragonflylogstore.SnapshotFile))
			return err == nil
		})
		behind.kill()
		behind.refuse("")
		behind.start()
		c.callUntil(200, behind.IP, "GET", "/config", "")

		third.refuse(stalls)
		version++
		c.callUntil(200, leader.IP, "PUT", "/config", routingDocument(version))
		for _, p := range ps {
			p.kill()
		}
		third.refuse("")
		So(os.RemoveAll(leader.Dir), ShouldBeNil)
		for _, p := range ps {
			p.start()
		}
		So(c.callUntil(200, behind.IP, "GET", "/config", ""), ShouldEqual, routingDocument(version))
		So(c.callUntil(200, third.IP, "GET", "/config", ""), ShouldEqual, routingDocument(version))
	})
}
