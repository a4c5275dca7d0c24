package dragonflylogstore_test

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"dragonflyrelay.example/library/common/dragonflylogstore"
	. "github.com/smartystreets/goconvey/convey"
)

// TestTemporaryFiles guards against temporary files that hold the last room of a disk,
// so that it stays full for everything else on it.
func TestTemporaryFiles(t *testing.T) {
	assertNone := func(dir string) {
		left, err := filepath.Glob(filepath.Join(dir, "*.new"))
		So(err, ShouldBeNil)
		So(left, ShouldBeEmpty)
	}
	Convey("A replacement that a full disk refuses leaves no temporary file", t, func() {
		dir := write(t, "one")
		full := true
		s := &dragonflylogstore.Store{Dir: dir, Write: func(f *os.File, p []byte) (int, error) {
			if !full {
				return f.Write(p)
			}
			n, _ := f.Write(p[:len(p)/2])
			return n, syscall.ENOSPC
		}}
		_, _, err := s.Open()
		So(err, ShouldBeNil)
		So(s.Replace([]byte("state"), []byte("two")), ShouldNotBeNil)
		assertNone(dir)
		full = false
		So(s.Replace([]byte("state"), []byte("two")), ShouldBeNil)
		So(s.Close(), ShouldBeNil)
		assertHolds(dir, "state", "two")
	})
	Convey("Open removes the temporary files of a process that was killed", t, func() {
		dir := write(t, "one")
		for _, name := range []string{dragonflylogstore.SnapshotFile, dragonflylogstore.LogFile} {
			So(os.WriteFile(filepath.Join(dir, name+".new"), []byte("part"), 0o600), ShouldBeNil)
		}
		assertHolds(dir, "", "one")
		assertNone(dir)
	})
}
