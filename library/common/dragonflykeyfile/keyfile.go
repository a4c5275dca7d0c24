// Package dragonflykeyfile reads the internal key from a file and reloads it
// without a restart when the file changes.
package dragonflykeyfile

import (
	"expvar"
	"log/slog"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// checkInterval is the minimum time between two checks of the file, so that a busy
// process doesn't make a system call for every message.
const checkInterval = time.Second

var failures = expvar.NewInt("dragonfly-key-reload-failures")

// KeyFile holds the key of the file at Path. Its methods may be called from any
// goroutine.
type KeyFile struct {
	// Path is the path of the file. White space around the key is ignored.
	Path string

	mu       sync.Mutex
	key      string
	modified time.Time
	checked  time.Time
}

// Load reads the file. It fails if the file can't be read or is empty.
func (f *KeyFile) Load() (err error) {
	defer func() { err = errors.WithMessagef(err, "load key file %s", f.Path) }()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.load()
}

// Key returns the key and reloads it first if the file has changed. If that fails,
// the last valid key stays in use and the failure is counted.
func (f *KeyFile) Key() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(f.checked) >= checkInterval {
		if err := f.load(); err != nil {
			failures.Add(1)
		}
	}
	return f.key
}

func (f *KeyFile) load() error {
	f.checked = time.Now()
	info, err := os.Stat(f.Path)
	if err != nil {
		return err
	}
	if f.key != "" && info.ModTime().Equal(f.modified) {
		return nil
	}
	raw, err := os.ReadFile(f.Path)
	if err != nil {
		return err
	}
	key := strings.TrimSpace(string(raw))
	if key == "" {
		return errors.New("the file is empty")
	}
	if f.key != "" && key != f.key {
		slog.Info("internal key changed", "file", f.Path)
	}
	f.key, f.modified = key, info.ModTime()
	return nil
}

// Source returns a function that returns the current key of the file at path, or
// key itself if path is empty.
func Source(key, path string) func() string {
	if path == "" {
		return func() string { return key }
	}
	return (&KeyFile{Path: path}).Key
}
