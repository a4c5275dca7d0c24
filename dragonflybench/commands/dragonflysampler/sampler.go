// Package dragonflysampler writes the resource usage of the process once a second.
package dragonflysampler

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"io"
	"os"
	"runtime"
	"strconv"
	"syscall"
	"time"

	"dragonflyrelay.example/dragonflybench/codecs/dragonflyresultjson"
	"dragonflyrelay.example/dragonflybench/values/dragonflysample"
	"github.com/pkg/errors"
)

// Period is the time between samples.
const Period = time.Second

// Sampler writes samples as JSON lines. Fields are set before Run.
type Sampler struct {
	// Part is the name of the part of the system that the process runs.
	Part string
	// Size returns the number of servers that run; nil means 1.
	Size func() int
	// Counts returns the bytes in each direction and the connections of a counting
	// relay; nil means that there is none.
	Counts func() (in, out, connections int64)
}

// Run writes a sample to w every Period until ctx ends. It returns an error if a
// sample cannot be read or written.
func (s Sampler) Run(ctx context.Context, w io.Writer) (err error) {
	defer func() { err = errors.WithMessage(err, "write samples") }()
	t := time.NewTicker(Period)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
		sample, err := s.take()
		if err != nil {
			return err
		}
		raw, err := dragonflyresultjson.MarshalSample(sample)
		if err != nil {
			return err
		}
		if _, err := w.Write(append(raw, '\n')); err != nil {
			return err
		}
	}
}

func (s Sampler) take() (sample dragonflysample.Sample, err error) {
	defer func() { err = errors.WithMessage(err, "read resource usage") }()
	sample = dragonflysample.Sample{At: time.Now().UnixNano(), Part: s.Part, Size: 1, Goroutines: runtime.NumGoroutine()}
	if s.Size != nil {
		sample.Size = s.Size()
	}
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return sample, err
	}
	sample.CPU = u.Utime.Nano() + u.Stime.Nano()
	if sample.Resident, err = resident(); err != nil {
		return sample, err
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	sample.Heap = int64(m.HeapAlloc)
	if v := expvar.Get("dragonfly-rpc-calls"); v != nil {
		if err := json.Unmarshal([]byte(v.String()), &sample.Calls); err != nil {
			return sample, err
		}
	}
	if s.Counts != nil {
		sample.BytesIn, sample.BytesOut, sample.Connections = s.Counts()
	}
	return sample, nil
}

// resident returns the resident memory of the process in bytes.
func resident() (int64, error) {
	raw, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0, err
	}
	fields := bytes.Fields(raw)
	if len(fields) < 2 {
		return 0, errors.Errorf("%q has no resident size", raw)
	}
	pages, err := strconv.ParseInt(string(fields[1]), 10, 64)
	return pages * int64(os.Getpagesize()), err
}
