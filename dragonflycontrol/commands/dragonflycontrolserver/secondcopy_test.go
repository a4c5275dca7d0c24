package dragonflycontrolserver_test

import (
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dragonflyrelay.example/library/common/dragonflylogstore"
	. "github.com/smartystreets/goconvey/convey"
)

// TestSecondCopy guards against changes that are refused by all instances because none of
// their disks, which hold the same state, has room for a second copy of it while a snapshot
// replaces the log.
func TestSecondCopy(t *testing.T) {
	Convey("Given instances whose disks have room for records and not for a second copy of the state", t, func() {
		const entries = 20
		controls := newControls(t, 3)
		var room atomic.Bool
		for _, c := range controls {
			c.server.Settings.SnapshotEntries = entries
			c.server.Write = func(f *os.File, p []byte) (int, error) {
				if filepath.Ext(f.Name()) == ".new" && filepath.Base(f.Name()) != "identity.new" && !room.Load() {
					return 0, syscall.ENOSPC
				}
				return f.Write(p)
			}
		}
		startAll(t, controls)
		accept := func(from, to uint64) {
			for v := from; v < to; v++ {
				assertAccepts(controls[0], fmt.Sprint("c", v), v, 4*time.Second)
			}
		}
		snapshots := func() (n int) {
			for _, c := range controls {
				if _, err := os.Stat(filepath.Join(c.server.Settings.DataFolder, dragonflylogstore.SnapshotFile)); err == nil {
					n++
				}
			}
			return n
		}
		accept(0, 3*entries)
		So(snapshots(), ShouldEqual, 0)

		Convey("they keep all acknowledged changes when they start again", func() {
			stopAll(controls)
			startAll(t, controls)
			assertVersion(controls, 3*entries)
			accept(3*entries, 3*entries+1)
		})
		Convey("they write the snapshot with a later change once there is room", func() {
			room.Store(true)
			accept(3*entries, 5*entries)
			assertWithin(2*time.Second, func() bool { return snapshots() == len(controls) })
			stopAll(controls)
			startAll(t, controls)
			assertVersion(controls, 5*entries)
		})
		stopAll(controls)
	})
}
