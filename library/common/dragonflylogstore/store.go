// Package dragonflylogstore stores a log and a snapshot in one folder.
// Acknowledged records survive a power loss at any point.
package dragonflylogstore

import (
	"expvar"
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// Names of the files in the folder. A file is replaced by a temporary file, which
// has the suffix tempSuffix and is renamed once it is synced.
const (
	LogFile      = "log"
	SnapshotFile = "snapshot"
	tempSuffix   = ".new"
	lockFile     = "lock"
)

// Modes of the files and the folder. Only the owner has access, because the files
// hold the responses to callers.
const (
	fileMode   = 0o600
	folderMode = 0o700
)

// ErrCorrupt is wrapped by the error for a file that was damaged after it had been
// synced. That error names the file and the offset of the first damaged record.
var ErrCorrupt = errors.New("record is corrupt")

var (
	syncs     = expvar.NewInt("dragonfly-log-syncs")
	written   = expvar.NewInt("dragonfly-log-bytes")
	failures  = expvar.NewInt("dragonfly-log-write-failures")
	truncated = expvar.NewInt("dragonfly-log-truncated-bytes")
	snapshots = expvar.NewInt("dragonfly-log-snapshots")
)

// Store stores a log and a snapshot in a folder. Only one goroutine may use it.
// Only Dir must be set.
type Store struct {
	// Dir is the path of the folder, which Open creates if it is missing.
	Dir string
	// Write, Sync, Truncate and Rename, if not nil, replace the functions of package
	// os in tests.
	Write    func(f *os.File, p []byte) (n int, err error)
	Sync     func(f *os.File) error
	Truncate func(f *os.File, size int64) error
	Rename   func(from, to string) error

	lock *os.File
	log  *os.File
	size int64 // synced bytes of the log
	torn bool  // the log may have bytes after size
}

// Open locks the folder and returns the snapshot, nil if there is none, and the
// payloads of the log's records in order. A torn record at the end of the log was
// never acknowledged and is truncated. Damage before it is an ErrCorrupt.
func (s *Store) Open() (snapshot []byte, records [][]byte, err error) {
	defer func() {
		if err != nil {
			_ = s.Close()
		}
		err = errors.WithMessagef(err, "open log in %s", s.Dir)
	}()
	if err := os.MkdirAll(s.Dir, folderMode); err != nil {
		return nil, nil, err
	}
	s.lock, err = lock(filepath.Join(s.Dir, lockFile))
	if err != nil {
		return nil, nil, err
	}
	for _, name := range []string{SnapshotFile, LogFile} {
		_ = os.Remove(s.path(name + tempSuffix)) // A killed process may have left it.
	}
	snapshot, err = s.readSnapshot()
	if err != nil {
		return nil, nil, err
	}
	s.log, err = os.OpenFile(s.path(LogFile), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, nil, err
	}
	records, s.size, err = s.readLog()
	if err != nil {
		return nil, nil, err
	}
	return snapshot, records, s.syncFolder()
}

// Append adds one record to the log and returns once it is synced to disk. After
// an error, such as a full disk, the record counts as not written, and Append may
// be called again.
func (s *Store) Append(payload []byte) (err error) {
	defer func() { err = s.countFailure(err, "append to log") }()
	if s.torn {
		if err := s.truncateLog(s.size); err != nil {
			return err
		}
	}
	raw, err := encodeRecord(payload)
	if err != nil {
		return err
	}
	s.torn = true
	if err := s.write(s.log, raw); err != nil {
		return err
	}
	if err := s.sync(s.log); err != nil {
		return err
	}
	s.torn = false
	s.size += int64(len(raw))
	return nil
}

// Replace replaces the snapshot, and the log by one with a single record, and
// returns once both are synced. A crash or an error between the two leaves the new
// snapshot with the old log.
func (s *Store) Replace(snapshot, payload []byte) (err error) {
	defer func() { err = s.countFailure(err, "replace snapshot") }()
	rawSnapshot, err := encodeRecord(snapshot)
	if err != nil {
		return err
	}
	raw, err := encodeRecord(payload)
	if err != nil {
		return err
	}
	f, err := s.replaceFile(SnapshotFile, rawSnapshot)
	if err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	f, err = s.replaceFile(LogFile, raw)
	if err != nil {
		return err
	}
	_ = s.log.Close()
	s.log, s.size, s.torn = f, int64(len(raw)), false
	snapshots.Add(1)
	return nil
}

// WriteFile replaces the named file in the folder and returns once it is synced. After
// an error or a crash the file is complete, as it was before or as it should be. It may
// be called before Open.
func (s *Store) WriteFile(name string, content []byte) (err error) {
	defer func() { err = s.countFailure(err, "write "+name) }()
	if err := os.MkdirAll(s.Dir, folderMode); err != nil {
		return err
	}
	f, err := s.replaceFile(name, content)
	if err != nil {
		return err
	}
	return f.Close()
}

// Close closes the files and unlocks the folder.
func (s *Store) Close() (err error) {
	defer func() { err = errors.WithMessage(err, "close log") }()
	for _, f := range []*os.File{s.log, s.lock} {
		if f == nil {
			continue
		}
		if e := f.Close(); err == nil {
			err = e
		}
	}
	s.log, s.lock = nil, nil
	return err
}

func (s *Store) path(name string) string { return filepath.Join(s.Dir, name) }

// countFailure counts a non-nil err and adds the operation and the folder to it.
func (s *Store) countFailure(err error, operation string) error {
	if err != nil {
		failures.Add(1)
	}
	return errors.WithMessagef(err, "%s in %s", operation, s.Dir)
}

// replaceFile writes raw to a temporary file, syncs it, renames it to name and syncs
// the folder. The returned file is open and positioned at its end.
func (s *Store) replaceFile(name string, raw []byte) (f *os.File, err error) {
	f, err = os.OpenFile(s.path(name+tempSuffix), os.O_RDWR|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			_ = f.Close()
			_ = os.Remove(s.path(name + tempSuffix)) // Gives its room back.
		}
	}()
	if err := s.write(f, raw); err != nil {
		return nil, err
	}
	if err := s.sync(f); err != nil {
		return nil, err
	}
	if err := s.rename(s.path(name+tempSuffix), s.path(name)); err != nil {
		return nil, err
	}
	return f, s.syncFolder()
}

// truncateLog removes the bytes of the log after size.
func (s *Store) truncateLog(size int64) (err error) {
	truncate := s.Truncate
	if truncate == nil {
		truncate = (*os.File).Truncate
	}
	if err := truncate(s.log, size); err != nil {
		return err
	}
	_, err = s.log.Seek(size, io.SeekStart)
	return err
}

func (s *Store) rename(from, to string) error {
	if s.Rename != nil {
		return s.Rename(from, to)
	}
	return os.Rename(from, to)
}

func (s *Store) write(f *os.File, p []byte) (err error) {
	write := s.Write
	if write == nil {
		write = (*os.File).Write
	}
	n, err := write(f, p)
	written.Add(int64(n))
	return err
}

func (s *Store) sync(f *os.File) (err error) {
	syncs.Add(1)
	if s.Sync != nil {
		return s.Sync(f)
	}
	return f.Sync()
}

func (s *Store) syncFolder() (err error) {
	d, err := os.Open(s.Dir)
	if err != nil {
		return err
	}
	defer func() { _ = d.Close() }()
	return s.sync(d)
}
