package dragonflycontrolserver_test

import (
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// fullFor returns a function that writes nothing until the given time has passed.
func fullFor(d time.Duration) func(f *os.File, p []byte) (n int, err error) {
	until := time.Now().Add(d)
	return func(f *os.File, p []byte) (n int, err error) {
		if time.Now().Before(until) {
			return 0, syscall.ENOSPC
		}
		return f.Write(p)
	}
}

// TestStartOnFullDisk guards against an instance that ends because its disk is full when
// it starts. A supervisor may give up such a process, or start it again with settings in
// which the deployment exists already.
func TestStartOnFullDisk(t *testing.T) {
	const ip = "127.0.0.21"
	assertTakesPart := func(c *deployment, bootstrap bool) {
		s := c.server(ip, bootstrap)
		s.Write = fullFor(1500 * time.Millisecond)
		c.run(ip, s)
		c.callUntil(200, "127.0.0.22", "PUT", "/config", routingDocument(5))
		c.callUntil(200, ip, "PUT", "/config", routingDocument(6))
		c.assertRead(6)
		left, err := filepath.Glob(filepath.Join(c.dirs[ip], "identity?*"))
		So(err, ShouldBeNil)
		So(left, ShouldBeEmpty)
	}
	Convey("An instance whose disk is full at the first start takes part once it has room", t, func() {
		c := &deployment{port: freePeerPort(), dirs: map[string]string{ip: t.TempDir()}, stops: map[string]func(){}}
		for _, other := range []string{"127.0.0.22", "127.0.0.23"} {
			c.dirs[other] = t.TempDir()
			c.start(other, true)
		}
		assertTakesPart(c, true)
	})
	Convey("An instance whose disk is lost and full takes part once it has room", t, func() {
		c := newDeployment(t)
		c.callUntil(200, "127.0.0.22", "PUT", "/config", routingDocument(4))
		c.stops[ip]()
		So(os.RemoveAll(c.dirs[ip]), ShouldBeNil)
		assertTakesPart(c, false)
	})
	Convey("An instance that is stopped while it waits for room ends without an error", t, func() {
		c := &deployment{port: freePeerPort(), dirs: map[string]string{ip: t.TempDir()}, stops: map[string]func(){}}
		s := c.server(ip, true)
		var writes atomic.Int32
		s.Write = func(*os.File, []byte) (int, error) {
			writes.Add(1)
			return 0, syscall.ENOSPC
		}
		c.run(ip, s)
		assertWithin(5*time.Second, func() bool { return writes.Load() > 1 })
		stopped := make(chan struct{})
		go func() {
			c.stops[ip]()
			close(stopped)
		}()
		assertWithin(2*time.Second, func() bool {
			select {
			case <-stopped:
				return true
			default:
				return false
			}
		})
	})
}

// TestTimelineOnFullDisk guards against an instance that ends, or writes no events to the
// end of its process, because its disk has no room for the file of the timeline when it
// starts.
func TestTimelineOnFullDisk(t *testing.T) {
	Convey("An instance starts without the file, and writes events once there is room", t, func() {
		controls := newControls(t, 1)
		s := controls[0].server
		s.Settings.Timeline = filepath.Join(t.TempDir(), "timeline")
		var room atomic.Bool
		s.OpenTimeline = func(name string, flag int, mode os.FileMode) (*os.File, error) {
			if !room.Load() {
				return nil, &os.PathError{Op: "open", Path: name, Err: syscall.ENOSPC}
			}
			return os.OpenFile(name, flag, mode)
		}
		startAll(t, controls)
		assertAccepted(controls[0], setZone("c1", 0, "zona-a", true), 1)
		room.Store(true)
		assertAccepted(controls[0], setZone("c2", 1, "zona-a", false), 2)
		stopAll(controls)
		raw, err := os.ReadFile(s.Settings.Timeline)
		So(err, ShouldBeNil)
		So(string(raw), ShouldContainSubstring, `"change":"c2"`)
	})
}
