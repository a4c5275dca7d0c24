// Package dragonflyreservations shares a memory budget between the goroutines of a process
// that read and write for its callers.
package dragonflyreservations

import (
	"expvar"
	"log/slog"
	"sync"
	"time"

	"dragonflyrelay.example/library/commands/dragonflymemorybudget"
	"dragonflyrelay.example/library/common/dragonflybroadcast"
	"dragonflyrelay.example/library/common/dragonflyclock"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
)

const (
	// logInterval is the shortest time between two log lines of one budget.
	logInterval = dragonflyduration.Second
	// pollInterval is the time after which a holder that waits tries again. Others become
	// closable without an event.
	pollInterval = 50 * time.Millisecond
)

var (
	usedBytes = expvar.NewMap("dragonfly-memory-reserved-bytes")
	closures  = expvar.NewMap("dragonfly-memory-closed")
	refusals  = expvar.NewMap("dragonfly-memory-refused")
)

// Reservations shares a budget. The zero value has no limit.
type Reservations struct {
	// Name labels the metrics and log lines.
	Name string
	// Limit is the budget in bytes, 0 for no limit. It must not change after the first use.
	Limit int64
	// Patience is how long a holder may wait for its caller before it is closed for others.
	Patience dragonflyduration.Duration
	Clock    dragonflyclock.Clock

	once            sync.Once
	freed           dragonflybroadcast.Broadcast // fires when a reservation ends
	mu              sync.Mutex
	budget          dragonflymemorybudget.Budget // guarded by mu, as are the fields below
	next            uint64
	closers         map[uint64]func()
	loggedAt        dragonflyinstant.Instant
	closed, refused int // since the last log line
}

// Open returns the id of a new holder. Its closer is called at most once, if the holder has
// to give way, and never after Release. It must not block or use the reservations.
func (r *Reservations) Open(closer func()) (id uint64) {
	r.once.Do(func() {
		r.budget, r.closers = dragonflymemorybudget.New(r.Limit).WithPatience(r.Patience), map[uint64]func(){}
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	r.closers[r.next] = closer
	return r.next
}

// Reserve reserves bytes in all for the holder id, and closes others for it if need be, for
// whose memory it waits up to limit. It returns false if there is no room, or if the holder has
// been closed itself.
func (r *Reservations) Reserve(id uint64, bytes int64, limit time.Duration) bool {
	ok, _, closed := r.try(id, bytes)
	ok = ok && r.awaitClosed(id, closed, time.Now().Add(limit))
	if !ok {
		r.countRefusal()
	}
	return ok
}

// Await is like Reserve, but also waits for room if no other holder may be closed.
func (r *Reservations) Await(id uint64, bytes int64, limit time.Duration) bool {
	end := time.Now().Add(limit)
	for {
		freed := r.freed.Changed()
		ok, mayWait, closed := r.try(id, bytes)
		if ok && r.awaitClosed(id, closed, end) {
			return true
		}
		if ok || !mayWait || !time.Now().Before(end) {
			r.countRefusal()
			return false
		}
		awaitChange(freed)
	}
}

// awaitClosed waits up to end for the memory of the holders that were closed before the holder
// id reserved its own, of which the latest has the given number. It returns false if the holder
// has been closed meanwhile, or if the time is over.
func (r *Reservations) awaitClosed(id, closed uint64, end time.Time) bool {
	for {
		freed := r.freed.Changed()
		r.mu.Lock()
		_, open := r.closers[id]
		settled := r.budget.Settled(closed)
		r.mu.Unlock()
		if !open || settled {
			return open
		}
		if !time.Now().Before(end) {
			return false
		}
		awaitChange(freed)
	}
}

// awaitChange waits for freed, at most pollInterval.
func awaitChange(freed <-chan struct{}) {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	select {
	case <-freed:
	case <-timer.C:
	}
}

// try reserves bytes for the holder id. If there is no room, mayWait reports whether there
// may be some later. Closed is the number of the latest holder that was closed, 0 if none has
// to be waited for.
func (r *Reservations) try(id uint64, bytes int64) (ok, mayWait bool, closed uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, open := r.closers[id]; !open {
		return false, false, 0
	}
	now, used := r.Clock.Now(), r.budget.Used()
	next, victims, ok := r.budget.WithReserved(now, id, bytes)
	r.budget = next
	for _, victim := range victims {
		r.closers[victim]()
		delete(r.closers, victim)
	}
	if next.Used() < used {
		r.freed.Fire()
	}
	closures.Add(r.Name, int64(len(victims)))
	r.closed += len(victims)
	r.publish(now)
	if next.Used() > used || len(victims) > 0 {
		closed = next.Closed()
	}
	return ok, r.budget.Fits(bytes), closed
}

func (r *Reservations) countRefusal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	refusals.Add(r.Name, 1)
	r.refused++
	r.publish(r.Clock.Now())
}

// SetRunning records that the process works for the holder id, which is not closed
// meanwhile, or that it waits for the caller again. It returns false if the holder has been
// closed.
func (r *Reservations) SetRunning(id uint64, runs bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, open := r.closers[id]; !open {
		return false
	}
	r.budget = r.budget.WithRunning(r.Clock.Now(), id, runs)
	return true
}

// Release ends the holder id, which no longer uses its memory. It must also be called for a
// holder that has been closed: others wait for its memory.
func (r *Reservations) Release(id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.closers, id)
	if r.budget.Holds(id) || r.budget.Closes(id) {
		r.budget = r.budget.Without(id)
		r.publish(r.Clock.Now())
		r.freed.Fire()
	}
}

// publish sets the metric and logs what the budget has closed and refused.
func (r *Reservations) publish(now dragonflyinstant.Instant) {
	used, ok := usedBytes.Get(r.Name).(*expvar.Int)
	if !ok {
		usedBytes.Add(r.Name, 0)
		used, _ = usedBytes.Get(r.Name).(*expvar.Int)
	}
	used.Set(r.budget.Used())
	if r.closed+r.refused == 0 || r.loggedAt != 0 && now.Sub(r.loggedAt) < logInterval {
		return
	}
	slog.Warn("memory for callers exhausted", "budget", r.Name, "used-bytes", r.budget.Used(), "limit-bytes", r.budget.Limit(),
		"holders", len(r.closers), "closed", r.closed, "refused", r.refused)
	r.loggedAt, r.closed, r.refused = now, 0, 0
}
