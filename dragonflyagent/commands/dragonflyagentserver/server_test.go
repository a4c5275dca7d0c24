package dragonflyagentserver_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"dragonflyrelay.example/dragonflyagent/commands/dragonflyagentserver"
	"dragonflyrelay.example/library/common/dragonflymachinewait"
	"dragonflyrelay.example/library/values/dragonflyannouncement"
	"dragonflyrelay.example/library/values/dragonflyframe"
	"dragonflyrelay.example/library/values/dragonflywork"
	. "github.com/smartystreets/goconvey/convey"
)

// assertWithin guards against a condition that does not hold in time. The time for which this
// process or its children had no processor does not count: on a busy machine no agent acts
// meanwhile.
func assertWithin(d time.Duration, what string, ok func() bool) {
	if !dragonflymachinewait.Within(d, ok) {
		So(what+" within "+d.String(), ShouldBeEmpty)
	}
}

// assertCompleteAnswer guards against an answer with a missing, repeated or
// foreign token.
func assertCompleteAnswer(n *node, w dragonflywork.Work) {
	frames, err := n.answer(w)
	So(err, ShouldBeNil)
	last := frames[len(frames)-1]
	So(last.Reason, ShouldBeEmpty)
	So(last.Kind, ShouldEqual, dragonflyframe.Done)
	So(last.Index, ShouldEqual, w.MaxTokens)
	So(frames[0].Kind, ShouldEqual, dragonflyframe.Started)
	So(len(frames), ShouldEqual, w.MaxTokens+2)
	for i, f := range frames[1 : len(frames)-1] {
		So(f.Kind, ShouldEqual, dragonflyframe.Token)
		So(f.Index, ShouldEqual, i)
	}
}

// assertRefused guards against work that is not refused, is refused for another
// reason, or reaches the upstream nevertheless.
func assertRefused(n *node, w dragonflywork.Work, reason string) {
	served := n.served.Load()
	frames, err := n.answer(w)
	So(err, ShouldBeNil)
	So(frames, ShouldHaveLength, 1)
	So(frames[0].Kind, ShouldEqual, dragonflyframe.Refused)
	So(frames[0].Reason, ShouldEqual, reason)
	So(n.served.Load()+n.running.Load(), ShouldEqual, served)
}

// assertReady guards against a group that is never reported to control as ready.
func assertReady(c *control, head *node) {
	assertWithin(8*time.Second, "group is ready", func() bool { return c.latest(head.bound.Instance).GroupReady })
}

func TestServing(t *testing.T) {
	Convey("A group of one member serves its work and refuses work for other groups", t, func() {
		c := startControl(t)
		n := startNode(t, "i1", c.address)
		c.order(formOrder(7, 3, n))
		assertReady(c, n)
		assertCompleteAnswer(n, completionWork(7, 3, 20))
		assertRefused(n, completionWork(7, 2, 20), dragonflyframe.ReasonWrongGroup)
		assertRefused(n, completionWork(8, 3, 20), dragonflyframe.ReasonWrongGroup)
	})
	Convey("A group of three becomes ready, and only its head serves", t, func() {
		c := startControl(t)
		a, b, d := startNode(t, "i1", c.address), startNode(t, "i2", c.address), startNode(t, "i3", c.address)
		c.order(formOrder(7, 3, a, b, d))
		assertReady(c, a)
		assertCompleteAnswer(a, completionWork(7, 3, 50))
		assertRefused(b, completionWork(7, 3, 5), dragonflyframe.ReasonWrongGroup)
	})
	Convey("A resumed completion continues after the delivered tokens", t, func() {
		c := startControl(t)
		n := startNode(t, "i1", c.address)
		c.order(formOrder(7, 3, n))
		assertReady(c, n)
		w := completionWork(7, 3, 5)
		w.Delivered = []string{"t0", "t1"}
		frames, err := n.answer(w)
		So(err, ShouldBeNil)
		So(frames[1].Index, ShouldEqual, 2)
		So(frames[len(frames)-1].Index, ShouldEqual, 5)
	})
	Convey("The upstream request is cancelled within a second of the entry's stream", t, func() {
		c := startControl(t)
		n := startNode(t, "i1", c.address)
		c.order(formOrder(7, 3, n))
		assertReady(c, n)
		ctx, cancel := context.WithCancel(context.Background())
		s, err := n.send(ctx, completionWork(7, 3, 100000))
		So(err, ShouldBeNil)
		_, err = s.Receive()
		So(err, ShouldBeNil)
		cancel()
		assertWithin(time.Second, "request is cancelled", func() bool { return n.cancelled.Load() == 1 })
	})
	Convey("Concurrent streams above the limit wait in the queue, and all answers are complete", t, func() {
		c := startControl(t)
		n := startNode(t, "i1", c.address)
		c.order(formOrder(7, 3, n))
		assertReady(c, n)
		const streams = 200
		type result struct {
			frames []dragonflyframe.Frame
			err    error
		}
		results := make(chan result, streams)
		clients := make([]*node, 4) // each client has 64 connections
		for i := range clients {
			clients[i] = &node{engine: n.engine, bound: n.bound}
		}
		for i := range streams {
			go func() {
				p, err := clients[i%len(clients)].answer(completionWork(7, 3, 10+i%7))
				results <- result{p, err}
			}()
		}
		for range streams {
			r := <-results
			So(r.err, ShouldBeNil)
			last := r.frames[len(r.frames)-1]
			So(last.Reason, ShouldBeEmpty)
			So(last.Index, ShouldEqual, len(r.frames)-2)
			for i, f := range r.frames[1 : len(r.frames)-1] {
				So(f.Index, ShouldEqual, i)
			}
		}
		So(n.served.Load(), ShouldEqual, streams)
	})
	Convey("A second agent on the same address fails to bind", t, func() {
		c := startControl(t)
		n := startNode(t, "i1", c.address)
		second := &dragonflyagentserver.Server{Settings: n.bound}
		err := second.Run(context.Background())
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "another agent may be using the address")
	})
}

func TestService(t *testing.T) {
	Convey("A plain service", t, func() {
		c := startControl(t)
		n := startNode(t, "s1", c.address)
		n.set(func(e *engine) { e.kind = "service" })
		call := dragonflywork.Work{Request: strings.Repeat("b", 32), Attempt: 1, Kind: dragonflywork.Call, Service: "floor",
			Method: "POST", Path: "/bids?lot=4", Body: []byte("12 EUR"), Headers: [][2]string{{"X-Bidder", "b1"}}}
		assertWithin(3*time.Second, "service is known", func() bool {
			r := c.latest("s1")
			return r.Alive && r.Announcement.Kind == dragonflyannouncement.Service
		})

		Convey("receives the complete call and returns the complete response", func() {
			frames, err := n.answer(call)
			So(err, ShouldBeNil)
			So(frames, ShouldHaveLength, 1)
			So(frames[0].Reason, ShouldBeEmpty)
			So(frames[0].Status, ShouldEqual, 201)
			So(string(frames[0].Body), ShouldEqual, "POST /bids?lot=4 12 EUR")
			So(frames[0].Headers, ShouldContain, [2]string{"X-Request", call.Request})
		})
		Convey("that closes the connection after the call was sent may have run it", func() {
			call.Path = "/break"
			frames, err := n.answer(call)
			So(err, ShouldBeNil)
			So(frames[0].Kind, ShouldEqual, dragonflyframe.Failed)
			So(frames[0].MayHaveRun, ShouldBeTrue)
			So(n.served.Load(), ShouldEqual, 1)
		})
		Convey("that does not listen has not run the call", func() {
			_ = n.engine.server.Close()
			assertRefused(n, call, dragonflyframe.ReasonNotReady)
		})
	})
}
