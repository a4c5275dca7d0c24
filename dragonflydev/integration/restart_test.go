package dragonflyintegration_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestDiskLostWithoutLiveSeed guards against an instance that never joins again after the loss
// of its disk, because the seeds in its settings have been replaced by other instances.
func TestDiskLostWithoutLiveSeed(t *testing.T) {
	t.Parallel()
	Convey("Given a member that lost its disk and whose seeds are all gone", t, func() {
		c := newControlCore(t)
		lost, next, kept := c.ip(1), c.ip(2), c.ip(3)
		c.kill(lost)
		c.wipe(lost)
		c.listed = []string{c.ip(7), c.ip(8), c.ip(9)}
		c.restart(lost)

		Convey("it returns the configuration, and the next disk can be lost", func() {
			c.assertConfigured(contactTime, next, kept)
			c.assertConfigured(syncTime, lost)
			c.assertAcknowledged(contactTime, c.seeds...)
			time.Sleep(syncTime)
			c.kill(c.seeds...)
			c.wipe(next)
			c.restart(c.seeds...)
			c.assertConfiguredEverywhere(2*contactTime, c.seeds...)
		})
	})
}

// TestRestartBesideSpare guards against a member that gives its seat to a spare when it stops
// and does not serve, or does not serve as a spare, when it starts again.
func TestRestartBesideSpare(t *testing.T) {
	t.Parallel()
	Convey("Given members that are stopped and started again beside a spare", t, func() {
		c := newControlCore(t)
		c.start(c.ip(4), false)
		time.Sleep(syncTime)
		all := append([]string{c.leader(c.seeds...)}, c.followers(c.leader(c.seeds...))...)
		all = append(all, c.ip(4))

		Convey("each returns the configuration soon, and a later loss of a disk leaves it", func() {
			for _, ip := range all {
				c.terminate(ip)
				c.assertAcknowledged(contactTime, without(all, ip)...)
				c.restart(ip)
				c.assertConfiguredEverywhere(contactTime, all...)
			}
			time.Sleep(syncTime)
			c.kill(all...)
			c.wipe(all[1])
			c.restart(all...)
			c.assertConfiguredEverywhere(2*contactTime, all...)
		})
	})
}

// TestReplacedMemberReturns guards against an instance that was replaced while it was down and
// waits, as a member by its own log, for a leader that no longer knows it.
func TestReplacedMemberReturns(t *testing.T) {
	t.Parallel()
	Convey("A replaced member returns the configuration soon and is a spare again", t, func() {
		c := newControlCore(t)
		leader := c.leader(c.seeds...)
		replaced, next := c.followers(leader)[0], c.followers(leader)[1]
		c.replaceWhileStopping(c.ip(4), replaced)
		time.Sleep(2 * syncTime) // The leader no longer replicates to it.
		c.restart(replaced)
		c.assertConfigured(contactTime, replaced)
		time.Sleep(syncTime)
		c.terminate(next)
		time.Sleep(syncTime)
		members := append(without(c.seeds, next), c.ip(4))
		c.assertAcknowledged(contactTime, members...)
		c.kill(members...)
		c.wipe(leader)
		c.restart(members...)
		c.assertConfiguredEverywhere(2*contactTime, members...)
	})
}

// TestLeaderKilledRepeatedly guards against elections that find no leader after the leader was
// killed and started again at once with its disk.
func TestLeaderKilledRepeatedly(t *testing.T) {
	Convey("The configuration is returned after each of several restarts of the leader", t, func() {
		c := newControlCore(t)
		for range 3 {
			leader := c.leader(c.seeds...)
			c.kill(leader)
			c.restart(leader)
			c.assertConfiguredEverywhere(contactTime, c.seeds...)
			c.assertAcknowledged(contactTime, c.seeds...)
		}
	})
}

// tornBytes is what a record that was being written may leave at the end of the log.
var tornBytes = map[string][]byte{
	"a record without its payload": {0, 0, 0, 90, 1, 2, 3, 4},
	"a part of a header":           {0, 0, 0},
	"zeros":                        make([]byte, 200),
}

// TestTornLogs guards against a store that is not opened after all processes were killed while
// they wrote.
func TestTornLogs(t *testing.T) {
	Convey("The configuration is returned after each log has ended in a torn record", t, func() {
		c := newControlCore(t)
		c.kill(c.seeds...)
		n := 0
		for name, torn := range tornBytes {
			ip := c.seeds[n]
			c.note("%s: %s", ip, name)
			f, err := os.OpenFile(filepath.Join(c.disk(ip), "log"), os.O_APPEND|os.O_WRONLY, 0)
			So(err, ShouldBeNil)
			_, err = f.Write(torn)
			So(err, ShouldBeNil)
			So(f.Close(), ShouldBeNil)
			So(os.WriteFile(filepath.Join(c.disk(ip), "snapshot.new"), torn, 0o600), ShouldBeNil)
			n++
		}
		c.restart(c.seeds...)
		c.assertConfiguredEverywhere(2*contactTime, c.seeds...)
	})
}
