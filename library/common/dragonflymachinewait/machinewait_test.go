package dragonflymachinewait_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"dragonflyrelay.example/library/common/dragonflymachinewait"
	. "github.com/smartystreets/goconvey/convey"
)

// machine is a folder of process files with a clock.
type machine struct {
	root string
	now  time.Time
	wait *dragonflymachinewait.MachineWait
}

// newMachine returns a machine on which this process has the thread 1, and a child the thread 9.
func newMachine(t *testing.T) *machine {
	m := &machine{root: t.TempDir(), now: time.Unix(1000, 0)}
	m.set("self", 1, "S", 0, 0)
	m.set("9", 9, "S", 0, 0)
	So(os.WriteFile(filepath.Join(m.root, "self", "task", "1", "children"), []byte("9 "), 0o600), ShouldBeNil)
	m.wait = &dragonflymachinewait.MachineWait{Root: m.root, Now: func() time.Time { return m.now }}
	So(m.wait.Ran(), ShouldEqual, 0)
	return m
}

// set writes the state of a thread, and for how many milliseconds it has run and waited.
func (m *machine) set(process string, thread int, state string, ran, waited int64) {
	folder := filepath.Join(m.root, process, "task", fmt.Sprint(thread))
	So(os.MkdirAll(folder, 0o700), ShouldBeNil)
	times := fmt.Sprintf("%d %d 5\n", ran*1e6, waited*1e6)
	So(os.WriteFile(filepath.Join(folder, "schedstat"), []byte(times), 0o600), ShouldBeNil)
	So(os.WriteFile(filepath.Join(folder, "stat"), []byte("1 (a) R b) "+state+" 1 1"), 0o600), ShouldBeNil)
}

// assertRan checks the time that the processes have run, in milliseconds, after more time.
func (m *machine) assertRan(after, want int64) {
	m.now = m.now.Add(time.Duration(after) * time.Millisecond)
	So(m.wait.Ran().Milliseconds(), ShouldEqual, want)
}

// TestRan guards against a bound that is eased on a machine that is not busy, and against one
// that does not notice that a process had no processor.
func TestRan(t *testing.T) {
	Convey("Given a process with a child", t, func() {
		m := newMachine(t)
		Convey("without waits all of the time counts", func() { m.assertRan(300, 300) })
		Convey("waits for less than half of the time between two readings do not count", func() {
			m.set("self", 1, "R", 5, 149)
			m.assertRan(300, 300)
			m.set("self", 1, "R", 6, 299)
			m.assertRan(300, 450)
		})
		Convey("a wait of either process is left out, and of both at once only once", func() {
			m.set("9", 9, "S", 10, 200)
			m.assertRan(300, 100)
			m.set("self", 1, "S", 10, 250)
			m.set("9", 9, "S", 20, 400)
			m.assertRan(300, 150)
		})
		Convey("a wait that lasts is left out between readings that find it, and once when it has ended", func() {
			m.set("9", 9, "R", 0, 0)
			m.assertRan(100, 100) // It may have become ready just now.
			m.assertRan(100, 100)
			m.assertRan(100, 100)
			m.set("9", 9, "S", 1, 280)
			m.assertRan(10, 30)
			m.assertRan(100, 130)
		})
		Convey("a thread that runs does not wait", func() {
			m.set("9", 9, "R", 90, 0)
			m.assertRan(100, 100)
		})
		Convey("a sync that does not return is left out, one that returns between readings is not", func() {
			m.set("9", 9, "D", 0, 0)
			m.assertRan(100, 100)
			m.assertRan(100, 100)
			So(m.wait.Waited(), ShouldEqual, 100*time.Millisecond)
			m.set("9", 9, "D", 1, 0)
			m.assertRan(100, 200)
		})
		Convey("a stopped process is not ready", func() {
			m.set("9", 9, "T", 0, 0)
			m.assertRan(1000, 1000)
		})
		Convey("a thread that has started since counts with its waits, one that has ended no longer", func() {
			m.set("9", 10, "S", 1, 50)
			m.assertRan(100, 50)
			m.set("9", 10, "S", 1, 50)
			So(os.RemoveAll(filepath.Join(m.root, "9")), ShouldBeNil)
			m.assertRan(100, 150)
		})
		Convey("waits from before the first call do not count", func() {
			m.set("9", 9, "S", 1, 5000)
			m.assertRan(100, 0)
		})
	})
	Convey("A condition is asked for until the processes have run for the bound", t, func() {
		n, began := 0, time.Now()
		So(dragonflymachinewait.Within(time.Minute, func() bool { n++; return n == 3 }), ShouldBeTrue)
		So(n, ShouldEqual, 3)
		So(dragonflymachinewait.Within(120*time.Millisecond, func() bool { return false }), ShouldBeFalse)
		So(time.Since(began), ShouldBeGreaterThanOrEqualTo, 120*time.Millisecond)
	})
	Convey("An attempt that fails is repeated only if the processes waited meanwhile", t, func() {
		n := 0
		dragonflymachinewait.Repeat(time.Minute, func() bool { n++; return false })
		So(n, ShouldEqual, 1)
		dragonflymachinewait.Repeat(0, func() bool { n++; return n == 4 })
		So(n, ShouldEqual, 4)
		dragonflymachinewait.Repeat(0, func() bool { n++; return false })
		So(n, ShouldEqual, 14)
	})
	Convey("Without process files all of the time counts", t, func() {
		now := time.Unix(1000, 0)
		w := &dragonflymachinewait.MachineWait{Root: filepath.Join(t.TempDir(), "none"), Now: func() time.Time { return now }}
		So(w.Ran(), ShouldEqual, 0)
		now = now.Add(time.Second)
		So(w.Ran(), ShouldEqual, time.Second)
	})
}
