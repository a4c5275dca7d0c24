package dragonflycontrolserver_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/values/dragonflyannouncement"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflygrouporder"
	"dragonflyrelay.example/library/values/dragonflyorders"
	"dragonflyrelay.example/library/values/dragonflyreport"
	"dragonflyrelay.example/library/values/dragonflyresult"
	"dragonflyrelay.example/library/values/dragonflytable"
	"dragonflyrelay.example/library/values/dragonflywatch"
	. "github.com/smartystreets/goconvey/convey"
)

// startAll starts the instances and returns once one of them leads.
func startAll(t *testing.T, controls []*control) {
	t.Helper()
	for _, c := range controls {
		c.start(t)
	}
	assertLeader(controls)
}

func stopAll(controls []*control) {
	for _, c := range controls {
		c.stop()
	}
	for _, c := range controls {
		So(<-c.ended, ShouldBeNil)
	}
}

// assertLeader checks that an instance leads within 2 s and returns it.
func assertLeader(controls []*control) (leader *control) {
	assertWithin(2*time.Second, func() bool {
		for _, c := range controls {
			if leaderReady(c)() {
				leader = c
				return true
			}
		}
		return false
	})
	return leader
}

// assertKnownLeader checks that one instance leads within 2 s, and that all name it by then.
// An instance that does not know the leader yet refuses changes as not run, and clients
// send them to another one.
func assertKnownLeader(controls []*control) (leader *control) {
	assertWithin(2*time.Second, func() bool {
		leader = nil
		for _, c := range controls {
			if leaderReady(c)() {
				leader = c
			}
		}
		for _, c := range controls {
			if leader == nil {
				return false
			}
			if s, err := c.status(); err != nil || s.Leader != leader.server.Settings.Instance {
				return false
			}
		}
		return true
	})
	return leader
}

func others(controls []*control, one *control) (rest []*control) {
	for _, c := range controls {
		if c != one {
			rest = append(rest, c)
		}
	}
	return rest
}

// assertVersion checks that all instances have the configuration version, with a
// recent confirmation, within 3 s.
func assertVersion(controls []*control, version uint64) {
	assertWithin(3*time.Second, func() bool {
		for _, c := range controls {
			if s, err := c.status(); err != nil || s.Config.Version() != version || s.ConfirmationAge >= maxConfirmationAge {
				return false
			}
		}
		return true
	})
}

// report sends an agent's report about an engine and returns the orders.
func (c *control) report(instance string, group, fence uint64, ready bool) (o dragonflyorders.Orders, err error) {
	r := dragonflyreport.Report{
		Incarnation: 1, AgentAddress: "127.0.0.1:9", Alive: true, Membership: dragonflyreport.Free,
		Group: group, Fence: fence, GroupReady: ready,
		Announcement: dragonflyannouncement.Announcement{
			Instance: instance, Kind: dragonflyannouncement.Engine, Address: "127.0.0.1:8", Region: "centro-mx",
			Zone: "zona-a", Domain: "d1", Accelerators: 1, Model: "atelier", State: dragonflyannouncement.Ready,
			Group: group, Fence: fence,
		},
	}
	if group != 0 {
		r.Membership = dragonflyreport.Member
	}
	raw, err := dragonflycodec.MarshalReport(r)
	if err != nil {
		return o, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	res, err := c.client.Call(ctx, "/dragonfly.control/Report", raw)
	if err != nil {
		return o, err
	}
	return dragonflycodec.UnmarshalOrders(res)
}

func (c *control) watch(w dragonflywatch.Watch) (t dragonflytable.Table, err error) {
	raw, err := dragonflycodec.MarshalWatch(w)
	if err != nil {
		return t, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	res, err := c.client.Call(ctx, "/dragonfly.control/Watch", raw)
	if err != nil {
		return t, err
	}
	return dragonflycodec.UnmarshalTable(res)
}

func TestThreeInstances(t *testing.T) {
	Convey("Given three control instances", t, func() {
		controls := newControls(t, 3)
		startAll(t, controls)
		leader := assertKnownLeader(controls)
		followers := others(controls, leader)

		Convey("A change proposed at a follower is in force on all instances within 3 s", func() {
			assertAccepted(followers[0], setZone("c1", 0, "zona-a", true), 1)
			assertVersion(controls, 1)
		})
		Convey("A change sent again to another instance returns the first result and is applied once", func() {
			assertAccepted(followers[0], setZone("c1", 0, "zona-a", true), 1)
			assertAccepted(followers[1], setZone("c2", 1, "zona-b", true), 2)
			assertAccepted(followers[1], setZone("c1", 0, "zona-a", true), 1)
			assertVersion(controls, 2)
		})
		Convey("Of concurrent changes to one version, one is accepted and the others get a conflict with both versions", func() {
			answers := make(chan dragonflyresult.Result, 6)
			for i := range 6 {
				go func() {
					r, err := controls[i%3].propose(setZone(fmt.Sprint("race-", i), 0, fmt.Sprint("zona-", i), true))
					if err != nil {
						r.Message = err.Error()
					}
					answers <- r
				}()
			}
			accepted := 0
			for range 6 {
				r := <-answers
				if r.Outcome == dragonflyresult.Accepted {
					accepted++
					continue
				}
				So(r.Outcome, ShouldEqual, dragonflyresult.Conflict)
				So(r.Base, ShouldEqual, 0)
				So(r.Version, ShouldEqual, 1)
			}
			So(accepted, ShouldEqual, 1)
		})
		Convey("Agents and entries can use any instance", func() {
			assertAccepted(leader, dragonflychange.Change{ID: "size", Kind: dragonflychange.SetGroupSize, Operator: "op", GroupSize: 2}, 1)
			var order dragonflygrouporder.Order
			assertWithin(8*time.Second, func() bool {
				one, err := followers[0].report("i1", 0, 0, false)
				So(err, ShouldBeNil)
				_, err = followers[1].report("i2", 0, 0, false)
				So(err, ShouldBeNil)
				order = one.Order
				return order.Kind == dragonflygrouporder.Form
			})
			So(len(order.Members), ShouldEqual, 2)
			assertWithin(5*time.Second, func() bool {
				_, err := followers[0].report(order.Members[0].Instance, order.Group, order.Fence, true)
				So(err, ShouldBeNil)
				_, err = followers[1].report(order.Members[1].Instance, order.Group, order.Fence, true)
				So(err, ShouldBeNil)
				for _, c := range controls {
					table, err := c.watch(dragonflywatch.Watch{Entry: "e1"})
					So(err, ShouldBeNil)
					if len(table.Routes) != 1 || !table.Routes[0].Ready || table.ConfirmationAge > maxConfirmationAge || !table.HasConfig {
						return false
					}
				}
				return true
			})
		})
		Convey("A leader that shuts down hands over, and another instance leads within 200 ms of its end", func() {
			assertAccepted(leader, setZone("c1", 0, "zona-a", true), 1)
			leader.stop()
			So(<-leader.ended, ShouldBeNil)
			s, err := followers[0].status()
			So(err, ShouldBeNil)
			So(s.Leader, ShouldNotEqual, leader.server.Settings.Instance)
			assertWithin(200*time.Millisecond, func() bool {
				return leaderReady(followers[0])() || leaderReady(followers[1])()
			})
			leader.start(t)
		})
		Reset(func() { stopAll(controls) })
	})
}

func TestIsolatedLeader(t *testing.T) {
	Convey("An isolated leader loses its confirmation and accepts no changes, and another instance leads within 2 s", t, func() {
		controls := newControls(t, 3)
		l := connectThroughProxies(t, controls)
		startAll(t, controls)
		old := assertLeader(controls)
		So(l.isolate(old.server.Settings.Instance, true), ShouldBeNil)
		r, err := old.propose(setZone("cut-off", 0, "zona-a", true))
		So(err, ShouldBeNil)
		So([]any{dragonflyresult.NotRun, dragonflyresult.Unavailable}, ShouldContain, any(r.Outcome))
		next := assertLeader(others(controls, old))
		assertAccepted(next, setZone("c1", 0, "zona-b", true), 1)
		assertWithin(4*time.Second, func() bool {
			s, err := old.status()
			return err == nil && s.Leader == "" && s.ConfirmationAge > maxConfirmationAge
		})
		r, err = old.propose(setZone("c2", 0, "zona-a", true))
		So(err, ShouldBeNil)
		So(r.Outcome, ShouldEqual, dragonflyresult.NotRun)
		So(l.isolate(old.server.Settings.Instance, false), ShouldBeNil)
		assertVersion(controls, 1)
		stopAll(controls)
	})
}

func TestReplay(t *testing.T) {
	Convey("500 changes survive restarts with snapshots and logs, also on an instance that lost its disk", t, func() {
		controls := newControls(t, 3)
		for _, c := range controls {
			c.server.Settings.SnapshotEntries = 60
		}
		startAll(t, controls)
		leader := assertLeader(controls)
		for i := range 500 {
			assertAccepted(leader, setZone(fmt.Sprint("c", i), uint64(i), "zona-a", i%2 == 0), uint64(i+1))
		}
		assertVersion(controls, 500)
		stopAll(controls)
		for _, c := range controls {
			_, err := os.Stat(filepath.Join(c.server.Settings.DataFolder, "snapshot"))
			So(err, ShouldBeNil)
		}
		So(os.RemoveAll(controls[0].server.Settings.DataFolder), ShouldBeNil)
		startAll(t, controls)
		assertVersion(controls, 500)
		assertAccepted(controls[1], setZone("c499", 499, "zona-a", false), 500)
		s, err := controls[0].status()
		So(err, ShouldBeNil)
		So(len(s.History), ShouldEqual, 500)
		So(s.History[499].ChangeID, ShouldEqual, "c499")
		stopAll(controls)
	})
}

func TestLargeSnapshot(t *testing.T) {
	Convey("A snapshot above the message limit of the transport reaches an instance that lost its disk", t, func() {
		controls := newControls(t, 3)
		for _, c := range controls {
			c.server.Settings.SnapshotEntries = 50
		}
		startAll(t, controls)
		leader := assertLeader(controls)
		for i := range 100 {
			id := fmt.Sprint("k", i)
			ch := dragonflychange.Change{ID: id, Kind: dragonflychange.Claim, ClaimKey: id, Owner: "r", Fingerprint: "fp"}
			r, err := leader.propose(ch)
			So(err, ShouldBeNil)
			So(r.Outcome, ShouldEqual, dragonflyresult.ClaimGranted)
			ch.ID, ch.Kind, ch.Outcome, ch.Body = id+"-end", dragonflychange.Complete, "done", make([]byte, 60<<10)
			r, err = leader.propose(ch)
			So(err, ShouldBeNil)
			So(r.Outcome, ShouldEqual, dragonflyresult.Accepted)
		}
		replaced := others(controls, leader)[0]
		replaced.stop()
		So(<-replaced.ended, ShouldBeNil)
		So(os.RemoveAll(replaced.server.Settings.DataFolder), ShouldBeNil)
		replaced.start(t)
		snapshot := filepath.Join(replaced.server.Settings.DataFolder, "snapshot")
		assertWithin(10*time.Second, func() bool {
			old, err := leader.status()
			So(err, ShouldBeNil)
			s, err := replaced.status()
			info, statErr := os.Stat(snapshot)
			return err == nil && statErr == nil && info.Size() > 4<<20 && s.Commit == old.Commit
		})
		stopAll(controls)
	})
}

func TestFullDisk(t *testing.T) {
	Convey("No change is accepted while all disks are full, and instances recover once there is space", t, func() {
		controls := newControls(t, 3)
		full := make([]atomic.Bool, 3)
		for i, c := range controls {
			c.server.Write = func(f *os.File, p []byte) (int, error) {
				if full[i].Load() {
					return 0, syscall.ENOSPC
				}
				return f.Write(p)
			}
		}
		startAll(t, controls)
		assertAccepted(controls[0], setZone("c1", 0, "zona-a", true), 1)
		for i := range full {
			full[i].Store(true)
		}
		r, err := controls[0].propose(setZone("c2", 1, "zona-b", true))
		So(err, ShouldBeNil)
		So([]any{dragonflyresult.NotRun, dragonflyresult.Unavailable}, ShouldContain, any(r.Outcome))
		full[0].Store(false)
		full[1].Store(false)
		var accepted dragonflyresult.Result
		assertWithin(5*time.Second, func() bool {
			accepted, err = controls[0].propose(setZone("c2", 1, "zona-b", true))
			return err == nil && accepted.Outcome == dragonflyresult.Accepted
		})
		So(accepted.Version, ShouldEqual, 2)
		full[2].Store(false)
		assertVersion(controls, 2)
		stopAll(controls)
	})
}
