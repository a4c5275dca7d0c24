package dragonflylogstore_test

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"dragonflyrelay.example/library/common/dragonflylogstore"
	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// assertHolds requires that a folder contains exactly the snapshot and records.
func assertHolds(dir, snapshot string, records ...string) {
	s := dragonflylogstore.Store{Dir: dir}
	snap, raw, err := s.Open()
	So(err, ShouldBeNil)
	defer func() { So(s.Close(), ShouldBeNil) }()
	So(string(snap), ShouldEqual, snapshot)
	var got []string
	for _, r := range raw {
		got = append(got, string(r))
	}
	So(got, ShouldResemble, records)
}

// write returns a new folder with a log of the records.
func write(t *testing.T, records ...string) (dir string) {
	dir = t.TempDir()
	s := open(dir)
	for _, r := range records {
		So(s.Append([]byte(r)), ShouldBeNil)
	}
	So(s.Close(), ShouldBeNil)
	return dir
}

func open(dir string) *dragonflylogstore.Store {
	s := &dragonflylogstore.Store{Dir: dir}
	_, _, err := s.Open()
	So(err, ShouldBeNil)
	return s
}

// edit replaces the content of the log file by the result of f.
func edit(dir string, f func(raw []byte) []byte) {
	path := filepath.Join(dir, dragonflylogstore.LogFile)
	raw, err := os.ReadFile(path)
	So(err, ShouldBeNil)
	So(os.WriteFile(path, f(raw), 0o600), ShouldBeNil)
}

func TestStore(t *testing.T) {
	Convey("Open returns the records in the order in which they were appended", t, func() {
		assertHolds(write(t, "one", "two"), "", "one", "two")
	})
	Convey("A log torn at any byte of its last record loses only that record", t, func() {
		for cut := 1; cut < 8+5; cut++ {
			dir := write(t, "one", "three")
			edit(dir, func(raw []byte) []byte { return raw[:len(raw)-cut] })
			assertHolds(dir, "", "one")
			s := open(dir)
			So(s.Append([]byte("four")), ShouldBeNil)
			So(s.Close(), ShouldBeNil)
			assertHolds(dir, "", "one", "four")
		}
	})
	Convey("A last record whose pages weren't written is truncated", t, func() {
		dir := write(t, "one", "two")
		edit(dir, func(raw []byte) []byte { return append(raw[:11:11], make([]byte, 400)...) })
		assertHolds(dir, "", "one")
	})
	Convey("A flipped bit in an acknowledged record is an error that names its offset", t, func() {
		for at := 11; at < 22; at++ {
			dir := write(t, "one", "two", "three")
			edit(dir, func(raw []byte) []byte { raw[at] ^= 0x40; return raw })
			s := dragonflylogstore.Store{Dir: dir}
			_, _, err := s.Open()
			So(errors.Is(err, dragonflylogstore.ErrCorrupt), ShouldBeTrue)
			So(err.Error(), ShouldContainSubstring, "log at offset 11")
			So(s.Close(), ShouldBeNil)
		}
	})
	Convey("A damaged snapshot is an error", t, func() {
		dir := write(t, "one")
		s := open(dir)
		So(s.Replace([]byte("state"), []byte("two")), ShouldBeNil)
		So(s.Close(), ShouldBeNil)
		path := filepath.Join(dir, dragonflylogstore.SnapshotFile)
		So(os.Truncate(path, 10), ShouldBeNil)
		_, _, err := s.Open()
		So(errors.Is(err, dragonflylogstore.ErrCorrupt), ShouldBeTrue)
		So(s.Close(), ShouldBeNil)
	})
	Convey("A folder can't be opened twice at the same time", t, func() {
		dir := write(t, "one")
		s := open(dir)
		_, _, err := (&dragonflylogstore.Store{Dir: dir}).Open()
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "another instance")
		So(s.Close(), ShouldBeNil)
	})
}

func TestStoreFullDisk(t *testing.T) {
	Convey("A full disk is an error, and the record can be appended again later", t, func() {
		dir := t.TempDir()
		free := 1 << 20
		s := &dragonflylogstore.Store{Dir: dir, Write: func(f *os.File, p []byte) (int, error) {
			n, err := f.Write(p[:min(len(p), free)])
			if free -= n; n < len(p) {
				return n, syscall.ENOSPC
			}
			return n, err
		}}
		_, _, err := s.Open()
		So(err, ShouldBeNil)
		So(s.Append([]byte("one")), ShouldBeNil)
		free = 9
		So(errors.Is(s.Append([]byte("two")), syscall.ENOSPC), ShouldBeTrue)
		free = 4
		So(errors.Is(s.Replace([]byte("state"), []byte("two")), syscall.ENOSPC), ShouldBeTrue)
		free = 1 << 20
		So(s.Append([]byte("three")), ShouldBeNil)
		So(s.Close(), ShouldBeNil)
		assertHolds(dir, "", "one", "three")
	})
	Convey("A record whose sync failed isn't in the log, even if its bytes reached the file", t, func() {
		dir := t.TempDir()
		failing := true
		s := &dragonflylogstore.Store{Dir: dir}
		_, _, err := s.Open()
		So(err, ShouldBeNil)
		s.Sync = func(f *os.File) error {
			if failing {
				return syscall.EIO
			}
			return f.Sync()
		}
		So(errors.Is(s.Append([]byte("one")), syscall.EIO), ShouldBeTrue)
		failing = false
		So(s.Append([]byte("two")), ShouldBeNil)
		So(s.Close(), ShouldBeNil)
		assertHolds(dir, "", "two")
	})
	Convey("A crash at any sync of Replace leaves the old log or the new one", t, func() {
		for crash := range 5 {
			dir := write(t, "one", "two")
			s := open(dir)
			syncs := 0
			s.Sync = func(f *os.File) error {
				syncs++
				if syncs > crash {
					return syscall.EIO
				}
				return f.Sync()
			}
			err := s.Replace([]byte("state"), []byte("three"))
			So(err == nil, ShouldEqual, crash == 4)
			So(s.Close(), ShouldBeNil)
			snap, records := contents(dir)
			So([]string{"/[one two]", "state/[one two]", "state/[three]"}, ShouldContain, fmt.Sprint(snap, "/", records))
		}
	})
}

func contents(dir string) (snapshot string, records []string) {
	s := dragonflylogstore.Store{Dir: dir}
	snap, raw, err := s.Open()
	So(err, ShouldBeNil)
	for _, r := range raw {
		records = append(records, string(r))
	}
	So(s.Close(), ShouldBeNil)
	return string(snap), records
}
