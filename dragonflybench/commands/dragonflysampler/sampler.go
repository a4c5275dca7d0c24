// Package dragonflysampler writes once a second what the process has used.
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
	// Part names what the process runs.
	Part string
	// Size returns how many servers run; nil means 1.
	Size func() int
	// Counts returns counted bytes and connections; nil means none.
	Counts func() (in, out, connections int64)
}

// Run writes samples to w until ctx ends.
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
	defer func() { err = errors.WithMessage(err, "read own use") }()
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
