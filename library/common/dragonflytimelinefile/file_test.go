package dragonflytimelinefile_test

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"dragonflyrelay.example/library/common/dragonflytimelinefile"
	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// assertContent asserts that f is closed and that its file has the given content.
func assertContent(f *dragonflytimelinefile.File, content string) {
	So(f.Close(), ShouldBeNil)
	raw, err := os.ReadFile(f.Path)
	So(err, ShouldBeNil)
	So(string(raw), ShouldEqual, content)
}

// TestFile guards against a process that ends, or that writes no events until it is started
// again, because the disk has no room for a new file when it starts.
func TestFile(t *testing.T) {
	Convey("Given a file that does not exist", t, func() {
		f := &dragonflytimelinefile.File{Path: filepath.Join(t.TempDir(), "timeline"), Mode: 0o600}
		for _, full := range []error{syscall.ENOSPC, syscall.EDQUOT} {
			Convey("a disk without room is no error, and the file is created once there is room: "+full.Error(), func() {
				refuses := true
				f.OpenFile = func(name string, flag int, mode os.FileMode) (*os.File, error) {
					if refuses {
						return nil, &os.PathError{Op: "open", Path: name, Err: full}
					}
					return os.OpenFile(name, flag, mode)
				}
				So(f.Open(), ShouldBeNil)
				_, err := f.Write([]byte("a\n"))
				So(errors.Is(err, full), ShouldBeTrue)
				refuses = false
				for _, line := range []string{"b\n", "c\n"} {
					_, err = f.Write([]byte(line))
					So(err, ShouldBeNil)
				}
				assertContent(f, "b\nc\n")
			})
		}
		Convey("it is created, and lines are added to it when it is opened again", func() {
			So(f.Open(), ShouldBeNil)
			_, err := f.Write([]byte("a\n"))
			So(err, ShouldBeNil)
			assertContent(f, "a\n")
			again := &dragonflytimelinefile.File{Path: f.Path, Mode: f.Mode}
			So(again.Open(), ShouldBeNil)
			_, err = again.Write([]byte("b\n"))
			So(err, ShouldBeNil)
			assertContent(again, "a\nb\n")
		})
		Convey("a folder that does not exist is an error", func() {
			f.Path = filepath.Join(f.Path, "timeline")
			So(errors.Is(f.Open(), os.ErrNotExist), ShouldBeTrue)
			So(f.Close(), ShouldBeNil)
		})
	})
}
