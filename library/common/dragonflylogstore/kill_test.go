package dragonflylogstore_test

import (
	"io"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"dragonflyrelay.example/library/common/dragonflylogstore"
	. "github.com/smartystreets/goconvey/convey"
)

// volatileLog records which bytes of the log file a loss of power may take.
type volatileLog struct {
	synced []byte
	writes []volatileWrite // after the last sync
}

type volatileWrite struct {
	offset int64
	bytes  []byte
}

// store returns a store in dir whose writes and syncs of the log are recorded. While
// killed is set, each sync fails, as for a process that ends between write and sync.
func (v *volatileLog) store(dir string, killed *bool) *dragonflylogstore.Store {
	return &dragonflylogstore.Store{
		Dir: dir,
		Write: func(f *os.File, p []byte) (int, error) {
			offset, err := f.Seek(0, io.SeekCurrent)
			So(err, ShouldBeNil)
			v.writes = append(v.writes, volatileWrite{offset, p})
			return f.Write(p)
		},
		Sync: func(f *os.File) error {
			if *killed {
				return syscall.EIO
			}
			if filepath.Base(f.Name()) == dragonflylogstore.LogFile {
				raw, err := os.ReadFile(f.Name())
				So(err, ShouldBeNil)
				v.synced, v.writes = raw, nil
			}
			return f.Sync()
		},
	}
}

// losePower leaves of the log in dir what was synced and the later writes from the
// given one on. Bytes of lost writes before a kept one are zero.
func (v *volatileLog) losePower(dir string, from int) {
	raw := append([]byte{}, v.synced...)
	for _, w := range v.writes[min(from, len(v.writes)):] {
		if missing := int(w.offset) + len(w.bytes) - len(raw); missing > 0 {
			raw = append(raw, make([]byte, missing)...)
		}
		copy(raw[w.offset:], w.bytes)
	}
	So(os.WriteFile(filepath.Join(dir, dragonflylogstore.LogFile), raw, 0o600), ShouldBeNil)
}

// killBeforeSync returns the folder of a store whose process is killed after it has
// written a record and before the record is synced.
func (v *volatileLog) killBeforeSync(t *testing.T, record string) (dir string) {
	dir, killed := t.TempDir(), false
	s := v.store(dir, &killed)
	_, _, err := s.Open()
	So(err, ShouldBeNil)
	killed = true
	So(s.Append([]byte(record)), ShouldNotBeNil)
	So(s.Close(), ShouldBeNil)
	return dir
}

// TestKillBeforeSync guards against a record that is acknowledged after a restart
// because it is in the file, though nothing has synced it.
func TestKillBeforeSync(t *testing.T) {
	Convey("A record that Open returns survives a loss of power", t, func() {
		v, killed := &volatileLog{}, false
		dir := v.killBeforeSync(t, "one")
		s := v.store(dir, &killed)
		_, records, err := s.Open()
		So(err, ShouldBeNil)
		So(len(records), ShouldEqual, 1)
		So(s.Close(), ShouldBeNil)
		v.losePower(dir, len(v.writes))
		assertHolds(dir, "", "one")
	})
	Convey("A loss of power that keeps only the record written after a restart is no corruption", t, func() {
		v, killed := &volatileLog{}, false
		dir := v.killBeforeSync(t, "one")
		s := v.store(dir, &killed)
		_, _, err := s.Open()
		So(err, ShouldBeNil)
		killed = true
		So(s.Append([]byte("two")), ShouldNotBeNil)
		So(s.Close(), ShouldBeNil)
		v.losePower(dir, len(v.writes)-1)
		_, records := contents(dir)
		So(records, ShouldContain, "one")
	})
}
