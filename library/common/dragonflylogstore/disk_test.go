package dragonflylogstore_test

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"dragonflyrelay.example/library/common/dragonflylogstore"
	"pgregory.net/rapid"
)

// disk refuses operations while it is full and can lose its power. It works on the files
// of one folder.
type disk struct {
	dir   string
	full  bool
	files map[uint64]*contentOnDisk // by inode
	names map[string]uint64         // inode by name at the last sync of the folder
	held  []*os.File                // keep the inodes of removed files from being used again
}

// contentOnDisk is the synced content of a file and what was done to it since.
type contentOnDisk struct {
	synced []byte
	since  []func(raw []byte, part int) []byte
}

func newDisk(dir string) *disk {
	return &disk{dir: dir, files: map[uint64]*contentOnDisk{}, names: map[string]uint64{}}
}

// store returns a store on the disk. Its operations fail by chance while the disk is full,
// and writes then take a part of their bytes.
func (d *disk) store(t *rapid.T) *dragonflylogstore.Store {
	refuse := func(label string, percent int) bool {
		return d.full && rapid.IntRange(0, 99).Draw(t, label) < percent
	}
	return &dragonflylogstore.Store{
		Dir: d.dir,
		Write: func(f *os.File, p []byte) (n int, err error) {
			if refuse("write refused", 80) {
				n, err = rapid.IntRange(0, len(p)-1).Draw(t, "bytes written"), syscall.ENOSPC
			} else {
				n = len(p)
			}
			d.write(t, f, p[:n])
			return n, err
		},
		Sync: func(f *os.File) error {
			if refuse("sync refused", 30) {
				return syscall.ENOSPC
			}
			d.sync(t, f)
			return nil
		},
		Truncate: func(f *os.File, size int64) error {
			if refuse("truncate refused", 30) {
				return syscall.ENOSPC
			}
			c := d.content(t, f)
			c.since = append(c.since, func(raw []byte, part int) []byte {
				if part == 0 || int(size) > len(raw) {
					return raw
				}
				return raw[:size]
			})
			return f.Truncate(size)
		},
		Rename: func(from, to string) error {
			if refuse("rename refused", 30) {
				return syscall.ENOSPC
			}
			return os.Rename(from, to)
		},
	}
}

// write appends p to f.
func (d *disk) write(t *rapid.T, f *os.File, p []byte) {
	c := d.content(t, f)
	offset, err := f.Seek(0, io.SeekCurrent)
	must(t, err)
	_, err = f.Write(p)
	must(t, err)
	c.since = append(c.since, func(raw []byte, part int) []byte {
		kept := p[:len(p)*part/torn]
		if len(kept) == 0 {
			return raw
		}
		if missing := int(offset) + len(kept) - len(raw); missing > 0 {
			raw = append(raw, make([]byte, missing)...)
		}
		copy(raw[offset:], kept)
		return raw
	})
}

// sync makes the content of f, or the names of the folder f, survive a loss of power.
func (d *disk) sync(t *rapid.T, f *os.File) {
	info, err := f.Stat()
	must(t, err)
	if info.IsDir() {
		d.names = d.listed(t)
		return
	}
	raw, err := os.ReadFile(filepath.Join("/proc/self/fd", itoa(f.Fd())))
	must(t, err)
	c := d.content(t, f)
	c.synced, c.since = raw, nil
}

// torn is the number of parts of a write of which a loss of power keeps the first ones.
const torn = 4

// losePower leaves the synced content of each file with any of the later operations, and
// for each name either the file at the last sync of the folder or the latest one.
func (d *disk) losePower(t *rapid.T) {
	now, raw := d.listed(t), map[string][]byte{}
	for _, name := range []string{dragonflylogstore.LogFile, dragonflylogstore.SnapshotFile} {
		inode, ok := now[name]
		if old, was := d.names[name]; was != ok || old != inode {
			if rapid.Bool().Draw(t, "old name kept") {
				inode, ok = old, was
			}
		}
		if !ok {
			continue
		}
		c := d.files[inode]
		if c == nil {
			c = &contentOnDisk{}
		}
		left := append([]byte{}, c.synced...)
		for _, f := range c.since {
			left = f(left, rapid.IntRange(0, torn).Draw(t, "part kept"))
		}
		raw[name] = left
	}
	must(t, os.RemoveAll(d.dir))
	must(t, os.MkdirAll(d.dir, 0o700))
	d.close()
	d.files = map[uint64]*contentOnDisk{}
	for name, content := range raw {
		must(t, os.WriteFile(filepath.Join(d.dir, name), content, 0o600))
		f, err := os.Open(filepath.Join(d.dir, name))
		must(t, err)
		d.held = append(d.held, f)
		info, err := f.Stat()
		must(t, err)
		d.files[inodeOf(info)] = &contentOnDisk{synced: content}
	}
	d.names = d.listed(t)
}

// listed returns the inodes of the files in the folder by name.
func (d *disk) listed(t *rapid.T) (names map[string]uint64) {
	entries, err := os.ReadDir(d.dir)
	must(t, err)
	names = map[string]uint64{}
	for _, e := range entries {
		info, err := e.Info()
		must(t, err)
		names[e.Name()] = inodeOf(info)
	}
	return names
}

// content returns what is known of the content of f.
func (d *disk) content(t *rapid.T, f *os.File) *contentOnDisk {
	info, err := f.Stat()
	must(t, err)
	c, ok := d.files[inodeOf(info)]
	if !ok {
		held, err := os.Open(filepath.Join("/proc/self/fd", itoa(f.Fd())))
		must(t, err)
		d.held = append(d.held, held)
		c = &contentOnDisk{}
		d.files[inodeOf(info)] = c
	}
	return c
}

func (d *disk) close() {
	for _, f := range d.held {
		_ = f.Close()
	}
	d.held = nil
}

func inodeOf(info os.FileInfo) uint64 { return info.Sys().(*syscall.Stat_t).Ino }
