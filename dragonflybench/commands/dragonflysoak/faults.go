package dragonflysoak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"
)

// Times of the schedule.
const (
	minGap           = 300 * time.Millisecond
	maxGap           = 1500 * time.Millisecond
	maxFaultDuration = 3 * time.Second
)

// pickProcess draws a process: a control instance with probability 1/2, an entry
// or an agent with 1/4 each.
func (s *Soak) pickProcess(r *rand.Rand) (class string, n int) {
	switch r.IntN(4) {
	case 0:
		return "entry", r.IntN(entries)
	case 1:
		return "agent", r.IntN(2 * enginesPerDomain)
	default:
		return "control", s.pickControl(r)
	}
}

// injectFaults injects faults one after the other until InjectionTime has passed.
// Faults with a duration may overlap with the next ones.
func (s *Soak) injectFaults(ctx context.Context, r *rand.Rand) {
	end := time.Now().Add(s.InjectionTime)
	var undo []func()
	for time.Now().Before(end) && ctx.Err() == nil {
		class, n := s.pickProcess(r)
		kind, span := r.IntN(10), time.Duration(r.Int64N(int64(maxFaultDuration)))
		u := s.upstreams[r.IntN(len(s.upstreams))]
		switch {
		case kind <= 3:
			undo = append(undo, s.disturb(class, n, kind, span))
		case kind == 4 && s.losses.mayLoseDisk():
			s.loseDisk(ctx, s.pickControl(r), false)
		case kind == 5 && u.id != "":
			s.log("mute %s for %s", u.addr, span)
			id := u.id
			s.fleet.SetHanging(id, true)
			undo = append(undo, s.after(span, func() { s.fleet.SetHanging(id, false) }))
		case kind == 6 && u.id != "":
			s.log("drain %s", u.addr)
			s.fleet.Drain(u.id)
			sleep(ctx, time.Second)
			s.crash(ctx, u)
		case u.id != "":
			s.log("crash %s", u.addr)
			s.crash(ctx, u)
		}
		sleep(ctx, minGap+time.Duration(r.Int64N(int64(maxGap-minGap))))
	}
	for _, f := range undo {
		f()
	}
}

// disturb kills a process, terminates it, or pauses it for span. While the control instances
// are reserved for scenarios, it takes an entry in place of one. The returned function
// undoes a pause.
func (s *Soak) disturb(class string, n, kind int, span time.Duration) (undo func()) {
	what := [...]string{"kill", "terminate", "pause", "pause"}[kind] + " " + processName(class, n)
	pauses := kind >= 2
	if pauses {
		what += " for " + span.String()
	}
	end := func() {}
	if class == "control" {
		var ok bool
		if end, ok = s.losses.begin(fault{what: what, instances: []int{n}}); !ok {
			return s.disturb("entry", n%entries, kind, span)
		}
	}
	p := s.process(class, n)
	s.log("%s", what)
	if pauses {
		p.signal(syscall.SIGSTOP)
		return s.after(span, func() {
			p.signal(syscall.SIGCONT)
			end()
		})
	}
	defer end()
	if kind == 0 {
		p.kill()
	} else {
		p.terminate()
	}
	s.restart(class, n)
	return func() {}
}

// crash ends the server at u and starts a new one at the same address.
func (s *Soak) crash(ctx context.Context, u *upstream) {
	s.fleet.Crash(u.id)
	sleep(ctx, minGap)
	if err := s.startUpstream(ctx, u); err != nil {
		s.recordViolation("the soak cannot start an upstream: %v", err)
	}
}

// restart starts a new process in place of one that has ended, as the platform
// does.
func (s *Soak) restart(class string, n int) {
	if err := s.startProcess(class, n, false); err != nil {
		s.recordViolation("the soak cannot restart a process: %v", err)
	}
}

// after calls f after d. The returned function calls f at once, also if the timer
// has already called it, and stops the timer.
func (s *Soak) after(d time.Duration, f func()) (now func()) {
	t := time.AfterFunc(d, f)
	return func() {
		t.Stop()
		f()
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
