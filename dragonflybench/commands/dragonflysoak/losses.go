package dragonflysoak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"dragonflyrelay.example/library/common/dragonflybroadcast"
)

// Bounds that the platform states.
const (
	// contactTime is the time after a fault of one control instance in which the
	// configuration is read back. It is twice that after a fault of most instances.
	contactTime = 3 * time.Second
	// recoveryTime is that after losses that overlap.
	recoveryTime = 12 * time.Second
	// syncTime is how long an instance counts as lost after it is back, or after the
	// start of the one that replaces it.
	syncTime = 4 * time.Second
)

// losses records the faults of control instances: which instances they affect, since when
// there has been no other one, and whether the configuration has been read back since.
type losses struct {
	changed dragonflybroadcast.Broadcast // fires at the start and at the end of a fault
	clock   func() time.Time             // nil for that of the machine

	mu         sync.Mutex // guards the fields below
	instances  []int      // the numbers of the instances of the deployment
	inProgress map[int]int
	backAt     map[int]time.Time // end of the last fault
	diskLost   bool              // since the deployment was settled last
	reserved   bool              // for scenarios
	latest     event
	verified   int // number of the event after which the configuration was read back last
}

// event is the start or the end of a fault of control instances.
type event struct {
	number int
	what   string
	at     time.Time
	bound  time.Duration // until the configuration is read back
}

// fault is a fault of control instances.
type fault struct {
	what      string
	instances []int
	losesDisk bool // of one of the instances
	scenario  bool // part of a scenario
}

// mayLoseDisk reports whether a disk may be lost: one at a time, until the deployment has
// settled. A longer time alone does not suffice, since the instances may stand still in it.
func (l *losses) mayLoseDisk() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle()
	return !l.reserved && !l.diskLost
}

// newLosses returns the record of a deployment with n instances and no fault.
func newLosses(n int) *losses {
	l := &losses{inProgress: map[int]int{}, backAt: map[int]time.Time{}}
	for i := range n {
		l.instances = append(l.instances, i)
	}
	return l
}

// begin records the start of f, and the returned function its end. ok is false if f must not
// be injected: other faults than those of scenarios while the instances are reserved, and the
// loss of a second disk before the deployment has settled after the first.
func (l *losses) begin(f fault) (end func(), ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle()
	if l.reserved && !f.scenario || f.losesDisk && l.diskLost {
		return func() {}, false
	}
	l.diskLost = l.diskLost || f.losesDisk
	bound := contactTime
	if 2*len(f.instances) > len(l.instances) {
		bound = 2 * contactTime
	}
	for _, n := range l.instances {
		if !slices.Contains(f.instances, n) && l.isLost(n) {
			bound = recoveryTime
		}
	}
	for _, n := range f.instances {
		l.inProgress[n]++
	}
	l.note("start: "+f.what, bound)
	return sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, n := range f.instances {
			l.inProgress[n]--
			l.backAt[n] = l.now()
		}
		l.note("end: "+f.what, bound)
	}), true
}

func (l *losses) now() time.Time {
	if l.clock == nil {
		return time.Now()
	}
	return l.clock()
}

// note records an event. Its bound is at least that of the earlier events after which the
// configuration has not been read back.
func (l *losses) note(what string, bound time.Duration) {
	if l.latest.number > l.verified {
		bound = max(bound, l.latest.bound)
	}
	l.latest = event{number: l.latest.number + 1, what: what, at: l.now(), bound: bound}
	l.changed.Fire()
}

// settle lets another disk be lost if the deployment has settled. It is called before each
// event, since an event that follows does not undo that.
func (l *losses) settle() {
	l.diskLost = l.diskLost && !l.isSettled(syncTime)
}

// isLost reports whether instance n is affected by a fault or has been until shortly before.
func (l *losses) isLost(n int) bool {
	return l.inProgress[n] > 0 || l.now().Sub(l.backAt[n]) < syncTime
}

// add adds an instance to the deployment. It counts as lost at first if it replaces one that
// has been lost.
func (l *losses) add(n int, replacesLost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle()
	l.instances = append(slices.Clone(l.instances), n)
	if replacesLost {
		l.backAt[n] = l.now()
	}
	l.note(fmt.Sprintf("start of %s", processName("control", n)), contactTime)
}

// remove removes an instance from the deployment for good.
func (l *losses) remove(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle()
	l.instances = slices.DeleteFunc(slices.Clone(l.instances), func(m int) bool { return m == n })
	l.note(fmt.Sprintf("removal of %s", processName("control", n)), contactTime)
}

// reserve excludes other faults than those of scenarios from now on.
func (l *losses) reserve() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reserved = true
}

// numbers returns the numbers of the instances of the deployment.
func (l *losses) numbers() []int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.instances
}

// running returns the numbers of the instances that no fault affects.
func (l *losses) running() (numbers []int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range l.instances {
		if l.inProgress[n] == 0 {
			numbers = append(numbers, n)
		}
	}
	return numbers
}

// unverified returns the latest event if the configuration has not been read back since, but
// must be: at most one instance is affected, and none after the loss of a disk.
func (l *losses) unverified() (e event, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	affected := l.affected()
	return l.latest, l.latest.number > l.verified && (affected == 0 || affected == 1 && !l.diskLost)
}

// isLatest reports whether no event has followed e.
func (l *losses) isLatest(e event) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.latest.number == e.number
}

// verify records that the configuration has been read back after e.
func (l *losses) verify(e event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.verified = e.number
}

// settled reports whether no fault has begun or ended for calm, none is in progress, and the
// configuration has been read back since the last one.
func (l *losses) settled(calm time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isSettled(calm)
}

func (l *losses) isSettled(calm time.Duration) bool {
	return l.affected() == 0 && l.verified == l.latest.number && l.now().Sub(l.latest.at) >= calm
}

// affected returns the number of instances that a fault affects.
func (l *losses) affected() (count int) {
	for _, n := range l.instances {
		if l.inProgress[n] > 0 {
			count++
		}
	}
	return count
}
