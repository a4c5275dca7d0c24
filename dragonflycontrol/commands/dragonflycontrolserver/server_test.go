package dragonflycontrolserver_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"dragonflyrelay.example/dragonflycontrol/commands/dragonflycontrolserver"
	"dragonflyrelay.example/dragonflycontrol/queries/dragonflycontrolsettings"
	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/commands/dragonflyconsensus"
	"dragonflyrelay.example/library/common/dragonflymachinewait"
	"dragonflyrelay.example/library/common/dragonflyrpcclient"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyresult"
	"dragonflyrelay.example/library/values/dragonflystatus"
	"dragonflyrelay.example/library/values/dragonflyzone"
	. "github.com/smartystreets/goconvey/convey"
)

const key = "internal-key-of-the-tests"

// control is a control instance in the test's process.
type control struct {
	server *dragonflycontrolserver.Server
	client *dragonflyrpcclient.Client
	stop   context.CancelFunc
	ended  chan error
}

// newControls returns n control instances that have not been started.
func newControls(t testing.TB, n int) []*control {
	t.Helper()
	keyFile := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(keyFile, []byte(key), 0o600); err != nil {
		t.Fatal(err)
	}
	members, bound := map[string]string{}, map[string]net.Listener{}
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		name := fmt.Sprintf("control-%d", i+1)
		members[name], bound[l.Addr().String()] = l.Addr().String(), l
	}
	var controls []*control
	for i := range n {
		name := fmt.Sprintf("control-%d", i+1)
		controls = append(controls, &control{server: &dragonflycontrolserver.Server{
			Settings: dragonflycontrolsettings.Settings{
				Instance: name, Members: members, Listen: members[name], DebugListen: "127.0.0.1:0",
				DataFolder: filepath.Join(t.TempDir(), name), KeyFile: keyFile,
			},
			Listen: listenOnce(bound[members[name]]),
		}})
	}
	return controls
}

// listenOnce returns a listen function that returns l on its first call for that
// address. The port stays bound until then, so that no other process can take it.
func listenOnce(l net.Listener) func(network, address string) (net.Listener, error) {
	return func(network, address string) (net.Listener, error) {
		if first := l; first != nil && address == first.Addr().String() {
			l = nil
			return first, nil
		}
		return net.Listen(network, address)
	}
}

// start runs the instance and returns once it accepts calls.
func (c *control) start(t testing.TB) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	c.stop, c.ended = cancel, ended
	bound := make(chan net.Addr, 1)
	c.server.Listening = func(calls, _ net.Addr) { bound <- calls }
	go func() {
		// The instance may have been started again, with another channel, before the close.
		ended <- c.server.Run(ctx)
		close(ended) // A failed test that has received the result must not wait for another one.
	}()
	select {
	case addr := <-bound:
		c.client = &dragonflyrpcclient.Client{Addr: addr.String(), Key: func() string { return key }}
	case err := <-c.ended:
		t.Fatal(err)
	}
	t.Cleanup(cancel)
}

func (c *control) propose(ch dragonflychange.Change) (r dragonflyresult.Result, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	raw, err := dragonflycodec.MarshalChange(ch)
	if err != nil {
		return r, err
	}
	res, err := c.client.Call(ctx, "/dragonfly.control/Propose", raw)
	if err != nil {
		return r, err
	}
	return dragonflycodec.UnmarshalResult(res)
}

func (c *control) status() (s dragonflystatus.Status, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	res, err := c.client.Call(ctx, "/dragonfly.control/Status", nil)
	if err != nil {
		return s, err
	}
	return dragonflycodec.UnmarshalStatus(res)
}

// assertWithin checks that ok becomes true within d. The time for which this process or its
// children had no processor does not count: on a busy machine no instance answers meanwhile.
func assertWithin(d time.Duration, ok func() bool) {
	So(dragonflymachinewait.Within(d, ok), ShouldBeTrue)
}

// maxWait is the time that an instance may have waited for the machine during a change whose
// outcome must be known: half of the time without contact after which a leader may step down.
const maxWait = time.Duration(dragonflyconsensus.MinElectionTimeout) / 2

// assertAccepted checks that a change is accepted and results in version. Its outcome may be
// unknown if the instances had no processor or disk, and the same change is then sent again.
func assertAccepted(c *control, ch dragonflychange.Change, version uint64) {
	var r dragonflyresult.Result
	var err error
	dragonflymachinewait.Repeat(maxWait, func() bool {
		r, err = c.propose(ch)
		return err == nil && r.Outcome == dragonflyresult.Accepted
	})
	So(err, ShouldBeNil)
	So(r.Message, ShouldBeEmpty)
	So(r.Outcome, ShouldEqual, dragonflyresult.Accepted)
	So(r.Version, ShouldEqual, version)
}

func setZone(id string, base uint64, name string, out bool) dragonflychange.Change {
	return dragonflychange.Change{
		ID: id, Kind: dragonflychange.SetZone, Operator: "op", Base: base,
		Zone: dragonflyzone.Zone{}.WithName(name).WithOut(out),
	}
}

// leaderReady returns a function that reports whether c leads with a recent
// confirmation by a quorum.
func leaderReady(c *control) func() bool {
	return func() bool {
		s, err := c.status()
		return err == nil && s.Leader == c.server.Settings.Instance && s.ConfirmationAge < maxConfirmationAge
	}
}

// maxConfirmationAge is the confirmation age, in nanoseconds, above which agents
// refuse new work.
const maxConfirmationAge = 3_000_000_000

func TestSingleInstance(t *testing.T) {
	Convey("A single control instance accepts changes, rejects a stale version and keeps its state across a restart", t, func() {
		c := newControls(t, 1)[0]
		c.start(t)
		assertWithin(2*time.Second, leaderReady(c))
		assertAccepted(c, setZone("c1", 0, "zona-a", true), 1)
		r, err := c.propose(setZone("c2", 0, "zona-a", false))
		So(err, ShouldBeNil)
		So(r.Outcome, ShouldEqual, dragonflyresult.Conflict)
		c.stop()
		So(<-c.ended, ShouldBeNil)

		c.start(t)
		assertWithin(2*time.Second, leaderReady(c))
		s, err := c.status()
		So(err, ShouldBeNil)
		So(s.Config.ZoneOut("zona-a"), ShouldBeTrue)
		assertAccepted(c, setZone("c1", 0, "zona-a", true), 1)
		assertAccepted(c, setZone("c3", 1, "zona-a", false), 2)
		c.stop()
		So(<-c.ended, ShouldBeNil)
	})
}
