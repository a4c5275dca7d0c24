package dragonflyagentserver_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"dragonflyrelay.example/dragonflyagent/commands/dragonflyagentserver"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyrpcclient"
	"dragonflyrelay.example/library/values/dragonflyframe"
	"dragonflyrelay.example/library/values/dragonflygrouporder"
	"dragonflyrelay.example/library/values/dragonflyreport"
	"dragonflyrelay.example/library/values/dragonflywork"
	"dragonflyrelay.example/library/values/dragonflyzone"
	"github.com/Shopify/toxiproxy"
	. "github.com/smartystreets/goconvey/convey"
)

// leaseBound is the time within which a group must stop after the loss of a
// member: the lease of 1.2 s plus one tick of 50 ms.
const leaseBound = 1250 * time.Millisecond

// assertRefusedWithin guards against a head that accepts work after its group has
// ended.
func assertRefusedWithin(head *node, w dragonflywork.Work, within time.Duration, reasons ...string) {
	assertWithin(within, "head refuses", func() bool {
		frames, err := head.answer(w)
		So(err, ShouldBeNil)
		last := frames[len(frames)-1]
		return last.Kind == dragonflyframe.Refused && strings.Contains(strings.Join(reasons, " "), last.Reason)
	})
}

// assertLeaseFailure guards against a stream that continues without the lease.
func assertLeaseFailure(frames []dragonflyframe.Frame, err error) {
	So(err, ShouldBeNil)
	last := frames[len(frames)-1]
	So(last.Kind, ShouldEqual, dragonflyframe.Failed)
	So(last.Reason, ShouldEqual, dragonflyframe.ReasonNoLease)
	So(last.MayHaveRun, ShouldBeTrue)
}

// startGroup starts a control instance and n agents, and returns them once they form the
// ready group 7.
func startGroup(t *testing.T, n int) (*control, []*node) {
	c := startControl(t)
	var nodes []*node
	for i := range n {
		nodes = append(nodes, startNode(t, "i"+string(rune('1'+i)), c.address))
	}
	c.order(formOrder(7, 7, nodes...))
	assertReady(c, nodes[0])
	return c, nodes
}

// startStream starts a completion at n and returns the function that waits for
// the complete answer.
func startStream(n *node, w dragonflywork.Work) func() ([]dragonflyframe.Frame, error) {
	type result struct {
		frames []dragonflyframe.Frame
		err    error
	}
	served := n.running.Load()
	done := make(chan result, 1)
	go func() {
		p, err := n.answer(w)
		done <- result{p, err}
	}()
	assertWithin(3*time.Second, "stream starts", func() bool { return n.running.Load() > served })
	return func() ([]dragonflyframe.Frame, error) {
		r := <-done
		return r.frames, r.err
	}
}

func TestPartition(t *testing.T) {
	t.Parallel()
	Convey("A group stops within the lease when its head cannot reach a member, and serves again without a new order", t, func() {
		c := startControl(t)
		head, member := startNode(t, "i1", c.address), startNode(t, "i2", c.address)
		proxy := toxiproxy.NewProxy()
		proxy.Name, proxy.Listen, proxy.Upstream = "member", "127.0.0.1:0", member.bound.Listen
		So(proxy.Start(), ShouldBeNil)
		t.Cleanup(proxy.Stop)
		o := formOrder(7, 7, head, member)
		o.Members[1].AgentAddress = proxy.Listen
		c.order(o)
		assertReady(c, head)
		wait := startStream(head, completionWork(7, 7, 100000))
		for _, direction := range []string{"upstream", "downstream"} {
			_, err := proxy.Toxics.AddToxicJson(strings.NewReader(`{"type":"timeout","stream":"` + direction + `","attributes":{"timeout":0}}`))
			So(err, ShouldBeNil)
		}
		assertRefusedWithin(head, completionWork(7, 7, 1), leaseBound, dragonflyframe.ReasonNoLease)
		assertLeaseFailure(wait())
		assertWithin(3*time.Second, "the change is reported to control", func() bool {
			r := c.latest("i1")
			return !r.GroupReady && len(r.LostMembers) == 1 && r.LostMembers[0] == "i2"
		})
		proxy.Toxics.ResetToxics()
		assertReady(c, head)
		assertCompleteAnswer(head, completionWork(7, 7, 5))
		So(c.latest("i2").Group, ShouldEqual, 7)
	})
}

func TestEngineDeath(t *testing.T) {
	t.Parallel()
	Convey("A group stops within the lease when an engine dies", t, func() {
		_, nodes := startGroup(t, 2)
		nodes[1].kill()
		assertRefusedWithin(nodes[0], completionWork(7, 7, 1), leaseBound, dragonflyframe.ReasonNotReady)
	})
	Convey("An engine without announcements counts as failed after 3 s", t, func() {
		c, nodes := startGroup(t, 1)
		nodes[0].set(func(e *engine) { e.announcementsLeft = 0 })
		assertRefusedWithin(nodes[0], completionWork(7, 7, 1), 3500*time.Millisecond, dragonflyframe.ReasonNotReady)
		assertWithin(2*time.Second, "the change is reported to control", func() bool { return !c.latest("i1").Alive })
	})
}

func TestOrders(t *testing.T) {
	t.Parallel()
	Convey("Late and repeated orders do not restore an older group, even on an engine that ignores fencing", t, func() {
		c, nodes := startGroup(t, 2)
		for _, n := range nodes {
			n.set(func(e *engine) { e.ignoresFence = true })
		}
		c.order(formOrder(9, 9, nodes...))
		assertWithin(8*time.Second, "group 9", func() bool { r := c.latest("i1"); return r.Group == 9 && r.GroupReady })
		c.order(formOrder(7, 7, nodes...))
		time.Sleep(2500 * time.Millisecond)
		assertCompleteAnswer(nodes[0], completionWork(9, 9, 5))
		assertRefused(nodes[0], completionWork(7, 7, 5), dragonflyframe.ReasonWrongGroup)
		nodes[1].mu.Lock()
		defer nodes[1].mu.Unlock()
		So(nodes[1].orders, ShouldResemble, []string{"load 7", "load 9"})
	})
	Convey("A group does not serve after an order of unknown outcome until the engine announces the group that it holds", t, func() {
		c := startControl(t)
		n := startNode(t, "i1", c.address)
		n.set(func(e *engine) { e.hangsOnOrders, e.state = true, "warming" })
		c.order(formOrder(7, 7, n))
		assertWithin(6*time.Second, "state is unknown", func() bool { return c.latest("i1").Membership == dragonflyreport.Unknown })
		assertRefused(n, completionWork(7, 7, 5), dragonflyframe.ReasonNotReady)
		n.set(func(e *engine) { e.hangsOnOrders, e.state, e.group, e.fence = false, "ready", 7, 7 })
		assertReady(c, n)
		assertCompleteAnswer(n, completionWork(7, 7, 5))
	})
	Convey("An agent leaves the group when its engine refuses the order as outdated", t, func() {
		c := startControl(t)
		n := startNode(t, "i1", c.address)
		assertWithin(3*time.Second, "engine is known", func() bool { return c.latest("i1").Alive })
		n.mu.Lock()
		n.fence = 9 // executed, but not announced yet
		n.mu.Unlock()
		c.order(formOrder(7, 7, n))
		assertWithin(5*time.Second, "order is refused", func() bool {
			r := c.latest("i1")
			return r.Membership == dragonflyreport.Free && r.Group == 0
		})
	})
}

func TestShutdown(t *testing.T) {
	t.Parallel()
	Convey("A head that shuts down refuses new work, finishes its streams and releases its members", t, func() {
		c, nodes := startGroup(t, 2)
		wait := startStream(nodes[0], completionWork(7, 7, 300))
		nodes[0].stop()
		assertRefusedWithin(nodes[0], completionWork(7, 7, 1), time.Second, dragonflyframe.ReasonLeaving)
		frames, err := wait()
		So(err, ShouldBeNil)
		So(frames[len(frames)-1].Kind, ShouldEqual, dragonflyframe.Done)
		So(frames, ShouldHaveLength, 302)
		So(<-nodes[0].ended, ShouldBeNil)
		assertWithin(2*time.Second, "member is free", func() bool { return c.latest("i2").Group == 0 })
	})
	Convey("A member that shuts down interrupts no stream of its group", t, func() {
		c, nodes := startGroup(t, 2)
		wait := startStream(nodes[0], completionWork(7, 7, 500))
		nodes[1].stop()
		assertRefusedWithin(nodes[0], completionWork(7, 7, 1), time.Second, dragonflyframe.ReasonLeaving)
		frames, err := wait()
		So(err, ShouldBeNil)
		So(frames, ShouldHaveLength, 502)
		select {
		case err := <-nodes[1].ended:
			So(err, ShouldBeNil)
		case <-time.After(10 * time.Second):
			So("member does not end", ShouldBeEmpty)
		}
		So(c.latest("i2").Group, ShouldEqual, 0)
	})
}

// TestLastReport guards against a report that is held up on its way and arrives after the
// last one of a shutdown, so that control takes the agent for a member that is still there.
func TestLastReport(t *testing.T) {
	t.Parallel()
	Convey("The last report of a member that shuts down arrives last", t, func() {
		c, nodes := startGroup(t, 2)
		c.set(func(c *control) {
			c.delay = func(r dragonflyreport.Report) time.Duration {
				if r.Announcement.Instance == "i2" && r.Group != 0 {
					return 700 * time.Millisecond
				}
				return 0
			}
		})
		// The stream keeps the group while the shutdown's first report is on its way.
		wait := startStream(nodes[0], completionWork(7, 7, 300))
		nodes[1].stop()
		So(<-nodes[1].ended, ShouldBeNil)
		_, err := wait()
		So(err, ShouldBeNil)
		time.Sleep(800 * time.Millisecond)
		So(c.latest("i2").Group, ShouldEqual, 0)
	})
}

func TestZonesAndConfirmation(t *testing.T) {
	t.Parallel()
	Convey("A zone that is taken out refuses new work within 3 s and finishes the work in progress", t, func() {
		c, nodes := startGroup(t, 1)
		wait := startStream(nodes[0], completionWork(7, 7, 600))
		c.set(func(c *control) {
			c.config = c.config.WithVersion(2).WithZone(dragonflyzone.Zone{}.WithName("zona-a").WithOut(true))
		})
		assertRefusedWithin(nodes[0], completionWork(7, 7, 1), 3*time.Second, dragonflyframe.ReasonZoneOut)
		frames, err := wait()
		So(err, ShouldBeNil)
		So(frames, ShouldHaveLength, 602)
	})
	Convey("Work with a newer configuration version makes the agent fetch the configuration at once", t, func() {
		c, nodes := startGroup(t, 1)
		c.set(func(c *control) {
			c.config = c.config.WithVersion(2).WithZone(dragonflyzone.Zone{}.WithName("zona-a").WithOut(true))
		})
		w := completionWork(7, 7, 1)
		w.ConfigVersion = 2
		assertRefusedWithin(nodes[0], w, 500*time.Millisecond, dragonflyframe.ReasonZoneOut)
	})
	Convey("A group stops within 3 s when an upstream announces that it is leaving", t, func() {
		_, nodes := startGroup(t, 2)
		nodes[1].set(func(e *engine) { e.state = "leaving" })
		assertRefusedWithin(nodes[0], completionWork(7, 7, 1), 3*time.Second, dragonflyframe.ReasonLeaving)
	})
	Convey("An agent without a connection to control serves only work that carries a recent confirmation of the configuration", t, func() {
		c, nodes := startGroup(t, 1)
		wait := startStream(nodes[0], completionWork(7, 7, 1200))
		c.set(func(c *control) { c.unreachable = true })
		old := completionWork(7, 7, 1)
		old.ConfirmationAge = 3 * dragonflyduration.Second
		assertRefusedWithin(nodes[0], old, 3100*time.Millisecond, dragonflyframe.ReasonStaleConfig)
		assertCompleteAnswer(nodes[0], completionWork(7, 7, 1))
		frames, err := wait()
		So(err, ShouldBeNil)
		So(frames, ShouldHaveLength, 1202)
	})
	Convey("Reports go to the next control instance when the first does not answer", t, func() {
		c := startControl(t)
		n := startNode(t, "i1", "127.0.0.1:1", c.address)
		c.order(formOrder(7, 7, n))
		assertReady(c, n)
	})
}

func TestFrozenEntry(t *testing.T) {
	t.Parallel()
	Convey("The upstream request of an entry that reads no data is cancelled", t, func() {
		_, nodes := startGroup(t, 1)
		n := nodes[0]
		n.tokenInterval = time.Nanosecond
		s, err := n.send(context.Background(), completionWork(7, 7, 1<<30))
		So(err, ShouldBeNil)
		_, err = s.Receive()
		So(err, ShouldBeNil)
		// The buffers of the connection absorb the first megabytes.
		assertWithin(20*time.Second, "request is cancelled", func() bool { return n.cancelled.Load() == 1 })
	})
}

func TestAccess(t *testing.T) {
	t.Parallel()
	Convey("Calls with a wrong internal key are refused", t, func() {
		n := startNode(t, "i1", startControl(t).address)
		client := &dragonflyrpcclient.Client{Addr: n.bound.Listen, Key: func() string { return "wrong" }}
		_, err := client.Call(context.Background(), "/dragonfly.agent/Heartbeat", nil)
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "internal key")
	})
	Convey("Announcements of another instance and malformed ones are refused", t, func() {
		n := startNode(t, "i1", startControl(t).address)
		for _, body := range []string{`{`, `{"instance":"i2","kind":"engine","state":"ready","address":"127.0.0.1:1"}`,
			`{"kind":"oven","state":"ready","address":"127.0.0.1:1"}`, `{"kind":"engine","state":"hot","address":"127.0.0.1:1"}`,
			`{"kind":"engine","state":"ready"}`} {
			res, err := http.Post("http://"+n.bound.UpstreamListen+"/announce", "application/json", strings.NewReader(body))
			So(err, ShouldBeNil)
			So(res.Body.Close(), ShouldBeNil)
			So(res.StatusCode, ShouldEqual, http.StatusBadRequest)
		}
	})
	Convey("Settings are checked before anything is bound", t, func() {
		err := (&dragonflyagentserver.Server{}).Run(context.Background())
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "instance: is missing")
	})
	Convey("Work for a dissolved group is refused", t, func() {
		c, nodes := startGroup(t, 1)
		o := formOrder(7, 7, nodes...)
		o.Kind = dragonflygrouporder.Dissolve
		c.order(o)
		assertRefusedWithin(nodes[0], completionWork(7, 7, 1), 2*time.Second, dragonflyframe.ReasonLeaving, dragonflyframe.ReasonWrongGroup)
	})
}
