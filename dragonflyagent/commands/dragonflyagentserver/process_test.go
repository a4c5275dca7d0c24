package dragonflyagentserver_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dragonflyrelay.example/dragonflyagent/commands/dragonflyagentserver"
	"dragonflyrelay.example/dragonflyagent/values/dragonflyagentsettings"
	"dragonflyrelay.example/library/common/dragonflymachinewait"
	"dragonflyrelay.example/library/common/dragonflyrpcstream"
	"dragonflyrelay.example/library/values/dragonflyframe"
	. "github.com/smartystreets/goconvey/convey"
)

// settingsEnv names the settings file with which the test program runs as an
// agent instead of running tests.
const settingsEnv = "DRAGONFLY_TEST_AGENT_SETTINGS"

func TestMain(m *testing.M) {
	path := os.Getenv(settingsEnv)
	if path == "" {
		os.Exit(m.Run())
	}
	s, err := dragonflyagentsettings.Load(path)
	if err != nil {
		panic(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	if err := (&dragonflyagentserver.Server{Settings: s}).Run(ctx); err != nil {
		panic(err)
	}
}

// child is an agent in its own process.
type child struct {
	*node
	path string
	cmd  *exec.Cmd
}

// nextPort counts through ports below the ephemeral range, on an address that no other package
// uses: the process that is to listen there starts later, and an outgoing connection or another
// test could take the port meanwhile.
var nextPort atomic.Int32

func freeAddress(t testing.TB) string {
	t.Helper()
	nextPort.CompareAndSwap(0, int32(12000+os.Getpid()%100*200))
	for range 2000 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.7.0.1:%d", 12000+(nextPort.Add(1)-12000)%20000))
		if err != nil {
			continue
		}
		defer func() { _ = l.Close() }()
		return l.Addr().String()
	}
	t.Fatal("no free port")
	return ""
}

func startChild(t testing.TB, instance, control string) *child {
	t.Helper()
	c := &child{path: filepath.Join(t.TempDir(), "agent.json")}
	s := dragonflyagentsettings.Settings{Instance: instance, Listen: freeAddress(t), UpstreamListen: freeAddress(t)}
	raw, err := json.Marshal(map[string]any{"instance": instance, "listen": s.Listen, "upstream-listen": s.UpstreamListen,
		"control": []string{control}, "key": key})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(c.path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	c.node = &node{bound: s}
	c.start(t)
	c.engine = startEngine(t, instance, s.UpstreamListen)
	return c
}

// start starts the process and waits until it listens.
func (c *child) start(t testing.TB) {
	t.Helper()
	c.cmd = exec.Command(os.Args[0])
	var logs bytes.Buffer
	c.cmd.Stderr = &logs
	// The serve command limits the processors in the same way.
	c.cmd.Env = append(os.Environ(), settingsEnv+"="+c.path, "GOMAXPROCS=2")
	if err := c.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.kill)
	if dragonflymachinewait.Within(5*time.Second, func() bool {
		conn, err := net.Dial("tcp", c.bound.Listen)
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	}) {
		return
	}
	c.kill()
	t.Fatalf("agent does not listen: %s", logs.String())
}

func (c *child) signal(s syscall.Signal) { So(c.cmd.Process.Signal(s), ShouldBeNil) }

// kill ends the process of this child.
func (c *child) kill() {
	_ = c.cmd.Process.Kill()
	_ = c.cmd.Wait()
}

// startPair starts a control instance, a head, and a member in its own process. It
// returns them once they form the ready group 7.
func startPair(t *testing.T) (c *control, head *node, member *child) {
	c = startControl(t)
	member = startChild(t, "i2", c.address)
	head = startNode(t, "i1", c.address)
	c.order(formOrder(7, 7, head, member.node))
	assertReady(c, head)
	return c, head, member
}

func TestMemberProcess(t *testing.T) {
	t.Parallel()
	Convey("A group stops within the lease when a member is killed", t, func() {
		c, head, member := startPair(t)
		wait := startStream(head, completionWork(7, 7, 100000))
		member.kill()
		assertRefusedWithin(head, completionWork(7, 7, 1), leaseBound, dragonflyframe.ReasonNoLease)
		assertLeaseFailure(wait())

		Convey("and a restarted member joins after the promise that its earlier process gave the head has expired, without loading the model again", func() {
			started := time.Now()
			member.start(t)
			assertWithin(8*time.Second, "group serves again", func() bool {
				frames, err := head.answer(completionWork(7, 7, 1))
				So(err, ShouldBeNil)
				return frames[0].Kind == dragonflyframe.Started
			})
			So(time.Since(started), ShouldBeGreaterThan, leaseBound)
			assertWithin(2*time.Second, "the change is reported to control", func() bool { return c.latest("i2").Group == 7 })
			member.mu.Lock()
			defer member.mu.Unlock()
			So(member.orders, ShouldResemble, []string{"load 7"})
		})
	})
	Convey("A member that is paused for less than the lease interrupts no stream", t, func() {
		_, head, member := startPair(t)
		wait := startStream(head, completionWork(7, 7, 300))
		member.signal(syscall.SIGSTOP)
		time.Sleep(600 * time.Millisecond)
		member.signal(syscall.SIGCONT)
		frames, err := wait()
		So(err, ShouldBeNil)
		So(frames, ShouldHaveLength, 302)
	})
	Convey("A group stops when a member is paused for longer than the lease, and serves again once the member resumes", t, func() {
		_, head, member := startPair(t)
		wait := startStream(head, completionWork(7, 7, 100000))
		member.signal(syscall.SIGSTOP)
		assertRefusedWithin(head, completionWork(7, 7, 1), leaseBound, dragonflyframe.ReasonNoLease)
		assertLeaseFailure(wait())
		time.Sleep(time.Second)
		member.signal(syscall.SIGCONT)
		assertWithin(3*time.Second, "group serves again", func() bool {
			frames, err := head.answer(completionWork(7, 7, 1))
			So(err, ShouldBeNil)
			return frames[0].Kind == dragonflyframe.Started
		})
	})
}

// received is one frame of a stream, or the error that ended it.
type received struct {
	frame dragonflyframe.Frame
	err   error
}

// receiveInBackground receives from s until the last frame of the answer or an error,
// then closes the channel.
func receiveInBackground(s *dragonflyrpcstream.Stream) <-chan received {
	out := make(chan received)
	go func() {
		defer close(out)
		for {
			f, err := receiveFrame(s)
			out <- received{f, err}
			if err != nil || isLast(f) {
				return
			}
		}
	}()
	return out
}

func TestHeadProcess(t *testing.T) {
	t.Parallel()
	Convey("A head that resumes after its member has joined another group relays nothing", t, func() {
		c := startControl(t)
		head, member := startChild(t, "i1", c.address), startNode(t, "i2", c.address)
		c.order(formOrder(7, 7, head.node, member))
		assertReady(c, head.node)
		s, err := head.send(context.Background(), completionWork(7, 7, 100000))
		So(err, ShouldBeNil)
		_, err = s.Receive()
		So(err, ShouldBeNil)
		head.signal(syscall.SIGSTOP)
		c.order(formOrder(9, 9, member))
		assertWithin(5*time.Second, "member serves its new group", func() bool {
			frames, err := member.answer(completionWork(9, 9, 1))
			So(err, ShouldBeNil)
			return frames[0].Kind == dragonflyframe.Started
		})
		// The frames that were sent before the pause are received first: as many as the
		// engine made until the signal arrived.
		next := receiveInBackground(s)
		quiet := false
		for !quiet {
			select {
			case r := <-next:
				So(r.err, ShouldBeNil)
				So(r.frame.Kind, ShouldEqual, dragonflyframe.Token)
			case <-time.After(500 * time.Millisecond):
				quiet = true
			}
		}
		var wait dragonflymachinewait.MachineWait
		end := wait.Watch()
		head.signal(syscall.SIGCONT)
		var frames []dragonflyframe.Frame
		for r := range next {
			So(r.err, ShouldBeNil)
			frames = append(frames, r.frame)
			// One token may have passed the check of the lease before the pause. The
			// engine made over 200 in the meantime.
			So(len(frames), ShouldBeLessThanOrEqualTo, 2)
		}
		assertLeaseFailure(frames, nil)
		end()
		So(wait.Ran(), ShouldBeLessThan, time.Second)
		assertRefusedWithin(head.node, completionWork(7, 7, 1), time.Second, dragonflyframe.ReasonNoLease, dragonflyframe.ReasonNotReady)
	})
	Convey("A member serves in another group within 5 s after its head is killed", t, func() {
		c := startControl(t)
		head, member := startChild(t, "i1", c.address), startNode(t, "i2", c.address)
		c.order(formOrder(7, 7, head.node, member))
		assertReady(c, head.node)
		head.kill()
		c.order(formOrder(9, 9, member))
		assertWithin(5*time.Second, "member serves its new group", func() bool {
			frames, err := member.answer(completionWork(9, 9, 1))
			So(err, ShouldBeNil)
			return frames[0].Kind == dragonflyframe.Started
		})
	})
	Convey("SIGTERM ends the process after its streams have finished", t, func() {
		c := startControl(t)
		head := startChild(t, "i1", c.address)
		c.order(formOrder(7, 7, head.node))
		assertReady(c, head.node)
		wait := startStream(head.node, completionWork(7, 7, 300))
		head.signal(syscall.SIGTERM)
		frames, err := wait()
		So(err, ShouldBeNil)
		So(frames, ShouldHaveLength, 302)
		So(head.cmd.Wait(), ShouldBeNil)
	})
}
