// Package dragonflytimelinefile opens the file to which a timeline is written.
package dragonflytimelinefile

import (
	"log/slog"
	"os"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"
)

// File is a file to which lines are appended. If the disk has no room for a new file when
// it is opened, each write tries to create it. Path and Mode must be set.
type File struct {
	// Path is the path of the file.
	Path string
	// Mode is the mode of a new file.
	Mode os.FileMode
	// OpenFile replaces os.OpenFile if it is not nil.
	OpenFile func(name string, flag int, mode os.FileMode) (*os.File, error)

	file atomic.Pointer[os.File] // nil until the file exists
}

// Open opens the file and creates it if it is missing. A full disk is not an error, because
// a process does its work without a timeline, and the disk gets room again.
func (f *File) Open() (err error) {
	err = f.open()
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		slog.Warn("timeline file is created once the disk has room", "error", err)
		return nil
	}
	return err
}

// Write appends p. It returns an error while the file cannot be created.
func (f *File) Write(p []byte) (n int, err error) {
	if f.file.Load() == nil {
		if err := f.open(); err != nil {
			return 0, err
		}
	}
	return f.file.Load().Write(p)
}

// Close closes the file, if it exists.
func (f *File) Close() error {
	if file := f.file.Load(); file != nil {
		return file.Close()
	}
	return nil
}

func (f *File) open() (err error) {
	open := f.OpenFile
	if open == nil {
		open = os.OpenFile
	}
	file, err := open(f.Path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, f.Mode)
	if err != nil {
		return err
	}
	f.file.Store(file)
	return nil
}
