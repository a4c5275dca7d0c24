package dragonflysoak

import (
	"context"
	"fmt"
	"time"
)

const (
	settleInterval = 50 * time.Millisecond
	// settleTimeout bounds the wait for a settled deployment. It is longer than the bounds of
	// the configuration, so that these are recorded first.
	settleTimeout = 2 * (recoveryTime + syncTime)
	timeOfDay     = "15:04:05.000"
)

// watchConfiguration reads the configuration back after each fault of control instances,
// until ctx ends.
func (s *Soak) watchConfiguration(ctx context.Context) {
	for ctx.Err() == nil {
		changed := s.losses.changed.Changed()
		if e, ok := s.losses.unverified(); ok && s.verifyConfiguration(ctx, e) {
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// verifyConfiguration reads the configuration from the running instances in turn, as an
// operator does, until one returns it, and then from each of them. It returns false if an
// event has followed e meanwhile, or ctx has ended.
func (s *Soak) verifyConfiguration(ctx context.Context, e event) bool {
	running := s.losses.running()
	if !s.readWithin(ctx, e, e.bound, running) {
		return false
	}
	first := time.Since(e.at)
	for _, n := range running {
		if !s.readWithin(ctx, e, e.bound+syncTime, []int{n}) {
			return false
		}
	}
	s.log("configuration read back after %s, from all after %s (%s)", first.Round(time.Millisecond), time.Since(e.at).Round(time.Millisecond), e.what)
	s.losses.verify(e)
	return true
}

// readWithin reads the configuration from the instances in turn until one returns it. A read
// that begins later than bound after e is a violation. It returns false if an event has
// followed e meanwhile, or ctx has ended.
func (s *Soak) readWithin(ctx context.Context, e event, bound time.Duration, instances []int) bool {
	answers := map[int]string{}
	recorded := false
	for n := 0; ctx.Err() == nil && s.losses.isLatest(e); n++ {
		calm := time.Since(e.at)
		if calm > bound && !recorded {
			recorded = true
			s.recordViolation("CONFIG: the configuration did not come between %s and %s (calm for %.1f s; last event: %s): %v",
				e.at.Format(timeOfDay), time.Now().Format(timeOfDay), calm.Seconds(), e.what, answers)
		}
		instance := instances[n%len(instances)]
		ok, answer := s.readBack(ctx, instance)
		if ok {
			if recorded {
				s.log("the configuration came from %s after %s", processName("control", instance), time.Since(e.at))
			}
			return true
		}
		answers[instance] = answer
		sleep(ctx, operatorInterval)
	}
	return false
}

// awaitSettled waits until the deployment has settled and has been calm for that time. It
// returns false after settleTimeout.
func (s *Soak) awaitSettled(ctx context.Context, calm time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if s.losses.settled(calm) {
			return true
		}
		sleep(ctx, settleInterval)
	}
	return false
}

func describeRead(status int, err error) string {
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint("status ", status)
}
