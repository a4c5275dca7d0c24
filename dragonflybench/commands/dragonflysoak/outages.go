package dragonflysoak

import (
	"context"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

// Times of outages, which last longer than control waits for a silent machine.
const (
	minOutage       = 12 * time.Second
	maxOutage       = 25 * time.Second
	maxSeriesOutage = 10 * time.Second // of each of several
	maxSeriesGap    = 2 * time.Second
	maxSeries       = 4
	// acceptQueue is the number of connections that wait for an engine that stands still.
	acceptQueue = 20
)

// injectOutages injects outages of machines and of control one after the other until ctx
// ends, beside the other faults.
func (s *Soak) injectOutages(ctx context.Context) {
	r := s.random(outageStream)
	for ctx.Err() == nil {
		span := minOutage + time.Duration(r.Int64N(int64(maxOutage-minOutage)))
		machines := []int{s.pickMachine(r)}
		switch r.IntN(6) {
		case 0, 1:
			s.cutOff(ctx, span, machines)
		case 2:
			for range 2 + r.IntN(maxSeries-1) {
				s.cutOff(ctx, maxSeriesOutage/2+time.Duration(r.Int64N(int64(maxSeriesOutage/2))), machines)
				sleep(ctx, time.Duration(r.Int64N(int64(maxSeriesGap))))
			}
		case 3:
			first := machines[0] / enginesPerDomain * enginesPerDomain
			s.cutOff(ctx, span, []int{first, first + 1, first + 2, first + 3})
		case 4:
			// Drawn from the span, so that the schedules of earlier seeds stay.
			s.standStill(ctx, span, machines[0], span.Milliseconds()%2 == 1)
		case 5:
			s.log("stop all control for %s", span)
			numbers := s.losses.numbers()
			end, ok := s.losses.begin(fault{what: "standstill of all instances", instances: numbers})
			if ok {
				s.stopFor(ctx, span, "control", numbers...)
			}
			end()
		}
		sleep(ctx, minGap+time.Duration(r.Int64N(int64(maxGap))))
	}
}

// pickMachine draws the number of an engine, with preference for heads of groups.
func (s *Soak) pickMachine(r *rand.Rand) (n int) {
	n = r.IntN(2 * enginesPerDomain)
	heads := s.fleet.Heads()
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range 2 * enginesPerDomain {
		if m := (n + i) % (2 * enginesPerDomain); slices.Contains(heads, s.upstreams[m].id) {
			return m
		}
	}
	return n
}

// cutOff cuts the machines of engines off from control: neither heartbeats nor what the
// agents send arrives, while callers reach the engines.
func (s *Soak) cutOff(ctx context.Context, span time.Duration, machines []int) {
	s.log("cut machines %v off for %s", machines, span)
	s.setCutOff(machines, true)
	sleep(ctx, span)
	s.setCutOff(machines, false)
	s.log("machines %v are back", machines)
}

func (s *Soak) setCutOff(machines []int, cutOff bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range machines {
		u := s.upstreams[n]
		u.cutOff = cutOff
		s.fleet.CutOff(u.id, cutOff)
		for _, r := range s.relays {
			r.SetCutOff(processName("agent", n), cutOff)
		}
	}
}

// standStill stops the engine n with its agent, or alone, so that its queue of connections
// fills up.
func (s *Soak) standStill(ctx context.Context, span time.Duration, n int, withAgent bool) {
	s.log("engine %d stands still for %s, its agent too: %t", n, span, withAgent)
	s.mu.Lock()
	id := s.upstreams[n].id
	s.mu.Unlock()
	s.fleet.StandStill(id, span, acceptQueue)
	if withAgent {
		s.stopFor(ctx, span, "agent", n)
	} else {
		sleep(ctx, span)
	}
	s.fleet.StandStill(id, 0, 0)
}

// stopFor stops processes of a class and continues them after span.
func (s *Soak) stopFor(ctx context.Context, span time.Duration, class string, numbers ...int) {
	var stopped []*process
	for _, n := range numbers {
		p := s.process(class, n)
		p.signal(syscall.SIGSTOP)
		stopped = append(stopped, p)
	}
	sleep(ctx, span)
	for _, p := range stopped {
		p.signal(syscall.SIGCONT)
	}
	s.log("%s %v continue", class, numbers)
}
