// Package dragonflymachinewait measures for how long the processes of a test waited for the
// machine, so that a bound holds for the time in which they ran. The load is a machine whose
// processors and disks are busy with other work: a thread is ready to run and gets no processor,
// or a sync of its files does not return. A stop by a signal, a sleep and a wait for a message
// do not count.
package dragonflymachinewait

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"dragonflyrelay.example/library/common/dragonflypool"
)

const (
	// minShare is the least share of the time between two readings for which a thread has to
	// wait for it to count. The short waits that threads have on any machine leave a bound as
	// strict as a clock.
	minShare = 0.5
	// sampleInterval is the time between two readings, unless the calls are further apart.
	sampleInterval = 50 * time.Millisecond
	// maxFactor bounds the time that Within takes, as a multiple of its bound.
	maxFactor = 10
	// pollInterval is the time between two calls of the condition of Within.
	pollInterval = 5 * time.Millisecond
)

// thread is the latest reading of one thread.
type thread struct {
	ran, waited time.Duration // since its start
	ready       bool          // it runs, or waits for a processor or a disk
}

// interval is a time in which a thread waited.
type interval struct{ from, to time.Time }

// MachineWait measures the calling process and its children, from the first call on. A time in
// which any of their threads waited counts once.
type MachineWait struct {
	// Root is the folder of the process files, /proc if empty. Without them nothing counts.
	Root string
	// Now is the clock, that of the system if nil.
	Now func() time.Time

	mu               sync.Mutex
	began, sampledAt time.Time
	threads          map[string]thread // by folder
	waits            []interval        // disjoint, in order
}

// Ran returns the time since the first call without the times in which a thread waited.
func (w *MachineWait) Ran() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := time.Now()
	if w.Now != nil {
		at = w.Now()
	}
	w.sample(at)
	return at.Sub(w.began) - w.waited()
}

// Waited returns the times since the first call in which a thread waited.
func (w *MachineWait) Waited() time.Duration {
	w.Ran()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.waited()
}

func (w *MachineWait) waited() (d time.Duration) {
	for _, i := range w.waits {
		d += i.to.Sub(i.from)
	}
	return d
}

// Watch takes readings until end is called, so that waits which last are found.
func (w *MachineWait) Watch() (end func()) {
	w.Ran()
	ctx, cancel := context.WithCancel(context.Background())
	pool := &dragonflypool.Pool{Name: "machine-wait", Size: 1}
	_ = pool.Start(ctx, "readings", func(ctx context.Context) error {
		ticker := time.NewTicker(sampleInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				w.Ran()
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	})
	return func() {
		cancel()
		_ = pool.Wait(context.Background())
	}
}

// Within reports whether ok becomes true before the processes have run for d.
func Within(d time.Duration, ok func() bool) bool {
	w := &MachineWait{}
	w.Ran()
	next := w.began.Add(min(sampleInterval, d))
	for !ok() {
		// A wait shows only after its end, or in two readings.
		if now := time.Now(); now.After(next) {
			if w.Ran() >= d || now.Sub(w.began) >= maxFactor*d {
				return ok()
			}
			next = now.Add(min(sampleInterval, max(d-w.Ran(), pollInterval)))
		}
		<-time.After(pollInterval)
	}
	return true
}

// Repeat calls attempt until it succeeds, or fails although the processes waited for less than
// maxWait meanwhile, at most maxFactor times. On a machine that is not busy it calls it once.
func Repeat(maxWait time.Duration, attempt func() bool) {
	for range maxFactor {
		w := &MachineWait{}
		end := w.Watch()
		ok := attempt()
		end()
		if ok || w.Waited() < maxWait {
			return
		}
	}
}

// sample reads all threads.
func (w *MachineWait) sample(at time.Time) {
	first := w.began.IsZero()
	if first {
		w.began, w.sampledAt = at, at
	}
	threads := map[string]thread{}
	for _, folder := range w.folders() {
		t, ok := readThread(folder)
		if !ok {
			continue
		}
		last, known := w.threads[folder]
		switch {
		case known && t.ready && last.ready && t.ran == last.ran:
			w.add(interval{w.sampledAt, at}) // Its wait has not ended.
		case known:
			w.add(interval{at.Add(last.waited - t.waited), at})
		case !first:
			w.add(interval{at.Add(-t.waited), at}) // It has started since.
		}
		threads[folder] = t
	}
	w.threads, w.sampledAt = threads, at
}

// add adds a wait that is long enough and joins those that overlap.
func (w *MachineWait) add(i interval) {
	if d := i.to.Sub(i.from); d <= 0 || d < time.Duration(minShare*float64(i.to.Sub(w.sampledAt))) {
		return
	}
	if i.from.Before(w.began) {
		i.from = w.began
	}
	all := append(w.waits, i)
	slices.SortFunc(all, func(a, b interval) int { return a.from.Compare(b.from) })
	joined := all[:1]
	for _, next := range all[1:] {
		if last := &joined[len(joined)-1]; next.from.After(last.to) {
			joined = append(joined, next)
		} else if next.to.After(last.to) {
			last.to = next.to
		}
	}
	w.waits = joined
}

// folders returns the folders of the threads of the process and its children.
func (w *MachineWait) folders() (all []string) {
	root := cmp.Or(w.Root, "/proc")
	own, _ := filepath.Glob(filepath.Join(root, "self", "task", "*"))
	all = own
	for _, folder := range own {
		raw, _ := os.ReadFile(filepath.Join(folder, "children"))
		for _, child := range strings.Fields(string(raw)) {
			threads, _ := filepath.Glob(filepath.Join(root, child, "task", "*"))
			all = append(all, threads...)
		}
	}
	return all
}

// readThread reads the thread in folder. Ok is false if it has ended.
func readThread(folder string) (t thread, ok bool) {
	times, err := os.ReadFile(filepath.Join(folder, "schedstat"))
	if err != nil {
		return t, false
	}
	var ran, waited int64
	if _, err := fmt.Sscan(string(times), &ran, &waited); err != nil {
		return t, false
	}
	stat, err := os.ReadFile(filepath.Join(folder, "stat"))
	if err != nil {
		return t, false
	}
	return thread{ran: time.Duration(ran), waited: time.Duration(waited), ready: isReady(string(stat))}, true
}

// isReady reports whether the thread with the given line of its stat file runs, or waits for a
// processor (R) or a disk (D). The state follows the name in parentheses, which may contain any character.
func isReady(stat string) bool {
	i := strings.LastIndexByte(stat, ')')
	fields := strings.Fields(stat[i+1:])
	return i >= 0 && len(fields) > 0 && (fields[0] == "R" || fields[0] == "D")
}
