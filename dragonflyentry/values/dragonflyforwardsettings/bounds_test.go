package dragonflyforwardsettings_test

import (
	"testing"

	"dragonflyrelay.example/dragonflyentry/values/dragonflyforwardsettings"
	. "github.com/smartystreets/goconvey/convey"
)

// assertBounds checks what the callers of an entry may use together.
func assertBounds(memoryMB int64, files int, bodyMB int64, connections int) {
	s := dragonflyforwardsettings.Settings{MemoryLimit: memoryMB << 20, MaxFiles: files}
	So(s.BodyBudget(), ShouldEqual, bodyMB<<20)
	So(s.MaxConnections(1<<20), ShouldEqual, connections)
}

// TestBounds guards against bounds that ordinary callers reach, or that exceed the instance.
func TestBounds(t *testing.T) {
	Convey("An instance gives a quarter of its memory to bodies", t, func() {
		assertBounds(184, 4100, 46, 736)
		assertBounds(424, 10250, 106, 1696)
	})
	Convey("A small instance still has room for one body of 4 MiB", t, func() {
		assertBounds(16, 0, 8, 64)
	})
	Convey("Without a memory limit, descriptors bound the connections", t, func() {
		assertBounds(0, 4100, 256, 2050)
		assertBounds(0, 0, 256, 16384)
		So(dragonflyforwardsettings.Settings{MaxFiles: 4100}.MaxConnections(400), ShouldEqual, 200)
	})
	Convey("A setting replaces the part of the memory", t, func() {
		So(dragonflyforwardsettings.Settings{MemoryLimit: 64 << 20, BodyMemory: 9 << 20}.BodyBudget(), ShouldEqual, 9<<20)
	})
}
