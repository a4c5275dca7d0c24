package dragonflykeyfile_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"dragonflyrelay.example/library/common/dragonflykeyfile"
	. "github.com/smartystreets/goconvey/convey"
)

// assertKey requires that the key becomes want within 10 seconds.
func assertKey(f *dragonflykeyfile.KeyFile, want string) {
	deadline := time.Now().Add(10 * time.Second)
	for f.Key() != want && time.Now().Before(deadline) {
		time.Sleep(20 * time.Millisecond)
	}
	So(f.Key(), ShouldEqual, want)
}

func TestKeyFile(t *testing.T) {
	Convey("A changed file is reloaded, and the last key stays in use when the file is removed", t, func() {
		f := &dragonflykeyfile.KeyFile{Path: filepath.Join(t.TempDir(), "key")}
		So(f.Load(), ShouldNotBeNil)
		So(os.WriteFile(f.Path, []byte(" one\n"), 0o600), ShouldBeNil)
		So(f.Load(), ShouldBeNil)
		assertKey(f, "one")
		So(os.WriteFile(f.Path, []byte("two"), 0o600), ShouldBeNil)
		So(os.Chtimes(f.Path, time.Now(), time.Now().Add(time.Minute)), ShouldBeNil)
		assertKey(f, "two")
		So(os.Remove(f.Path), ShouldBeNil)
		time.Sleep(1100 * time.Millisecond)
		So(f.Key(), ShouldEqual, "two")
	})
	Convey("An empty file is an error", t, func() {
		f := &dragonflykeyfile.KeyFile{Path: filepath.Join(t.TempDir(), "key")}
		So(os.WriteFile(f.Path, []byte("\n"), 0o600), ShouldBeNil)
		So(f.Load(), ShouldNotBeNil)
	})
}
