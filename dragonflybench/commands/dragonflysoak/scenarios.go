package dragonflysoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"dragonflyrelay.example/dragonflybench/commands/dragonflycutrelay"
)

// Times of the scenarios.
const (
	// minHandover and maxHandover bound the time from the start of the new instance until the
	// end of the old one in a planned replacement.
	minHandover = 2 * time.Second
	maxHandover = 6 * time.Second
	// spareDelay is the time from the loss of an instance until a new one starts.
	spareDelay = time.Second
	// minPause and maxPause bound the time from the latest event of a scenario until the next
	// loss: some of them are shorter than control waits for a silent member, others longer.
	minPause = 300 * time.Millisecond
	maxPause = 3 * time.Second
	// minReplacement and maxReplacement bound the pause around the time after which control
	// replaces a silent member, 1.2 s.
	minReplacement = 800 * time.Millisecond
	maxReplacement = 1600 * time.Millisecond
	// standstill is longer than control waits for a silent member, after any pause.
	standstill = 6 * time.Second
	minCut     = 2 * time.Second
	maxCut     = 8 * time.Second
	// maxRestartDelay is the longest time until a process is back after all were killed.
	maxRestartDelay = 800 * time.Millisecond
	// wipeDelay is the time from the loss of a disk until the process starts again.
	wipeDelay = 200 * time.Millisecond
	// ackTimeout bounds the wait for an acknowledged document before a loss of all processes.
	ackTimeout = 300 * time.Millisecond
)

// runScenarios runs at least one scenario of control instances, one after the other until stop
// ends, and the last one to its end. Each begins when the deployment has settled.
func (s *Soak) runScenarios(ctx, stop context.Context) {
	r := s.random(scenarioStream)
	for n := 0; n == 0 || stop.Err() == nil; n++ {
		if !s.awaitSettled(ctx, syncTime) {
			s.log("no further scenario: the deployment has not settled")
			return
		}
		victim := s.pickControl(r)
		pause := minPause + time.Duration(r.Int64N(int64(maxPause-minPause)))
		span := time.Duration(r.Int64N(int64(maxCut - minCut)))
		switch r.IntN(10) {
		case 0, 1, 2:
			s.replacePlanned(ctx, r, victim, minHandover+span%(maxHandover-minHandover), pause)
		case 3, 4:
			s.replaceLost(ctx, r, victim, pause)
		case 5, 6:
			s.isolate(ctx, victim, minCut+span, isolation(r.IntN(isolations)))
		case 7, 8:
			s.loseDiskBesideStandstill(ctx, r, victim, pause)
		default:
			s.killControl(ctx, r)
		}
	}
}

// pickControl draws the number of a control instance of the deployment.
func (s *Soak) pickControl(r *rand.Rand) int {
	numbers := s.losses.numbers()
	return numbers[r.IntN(len(numbers))]
}

// replacePlanned replaces an instance as operators do: the new one starts first. All
// processes are killed after the pause, but not before the new one must be in place.
func (s *Soak) replacePlanned(ctx context.Context, r *rand.Rand, old int, handover, pause time.Duration) {
	if s.addInstance(ctx, false) < 0 {
		return
	}
	inPlace := time.Now().Add(syncTime)
	sleep(ctx, handover)
	p := s.process("control", old)
	s.removeInstance(old)
	p.signal(syscall.SIGTERM)
	sleep(ctx, max(pause, time.Until(inPlace)))
	p.signal(syscall.SIGKILL) // It may be shutting down still.
	s.killControl(ctx, r)
}

// replaceLost kills an instance for good and starts a new one. All processes are killed after
// the pause, but not before the new one must be in place.
func (s *Soak) replaceLost(ctx context.Context, r *rand.Rand, old int, pause time.Duration) {
	end, _ := s.losses.begin(fault{what: "loss of " + processName("control", old), instances: []int{old}, scenario: true})
	s.log("kill %s for good", processName("control", old))
	s.process("control", old).kill()
	sleep(ctx, spareDelay)
	n := s.addInstance(ctx, true)
	if n < 0 {
		s.restart("control", old)
		end()
		return
	}
	s.removeInstance(old)
	end()
	sleep(ctx, syncTime+pause)
	s.killControl(ctx, r)
}

// killControl kills all control instances in one moment, shortly after a document was
// acknowledged. One of them loses its disk.
func (s *Soak) killControl(ctx context.Context, r *rand.Rand) {
	numbers, wiped := s.losses.numbers(), s.pickControl(r)
	s.awaitAcknowledgement(ctx)
	end, ok := s.losses.begin(fault{what: "loss of all instances and of the disk of " + processName("control", wiped), instances: numbers, losesDisk: true, scenario: true})
	if !ok {
		s.log("no disk may be lost")
		return
	}
	defer end()
	s.log("kill control %v, wipe %s", numbers, processName("control", wiped))
	for _, n := range numbers {
		s.process("control", n).signal(syscall.SIGKILL)
	}
	for _, n := range numbers {
		<-s.process("control", n).ended
	}
	s.wipe(wiped)
	for _, n := range numbers {
		sleep(ctx, time.Duration(r.Int64N(int64(maxRestartDelay)/int64(len(numbers)))))
		s.restart("control", n)
	}
}

// awaitAcknowledgement waits until another document has been acknowledged.
func (s *Soak) awaitAcknowledgement(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	for before := s.newestAcknowledged(); ctx.Err() == nil && s.newestAcknowledged() == before; {
		sleep(ctx, time.Millisecond)
	}
}

// loseDiskBesideStandstill stops an instance. After the pause, or when control replaces it,
// another one loses its disk, so that two are lost at a time, but one disk only. In most
// cases a spare instance is there.
func (s *Soak) loseDiskBesideStandstill(ctx context.Context, r *rand.Rand, stopped int, pause time.Duration) {
	wiped := stopped
	for wiped == stopped {
		wiped = s.pickControl(r)
	}
	if len(s.losses.numbers()) == firstControls && r.IntN(4) > 0 && s.addInstance(ctx, false) >= 0 {
		sleep(ctx, syncTime)
	}
	if r.IntN(2) == 0 {
		pause = minReplacement + time.Duration(r.Int64N(int64(maxReplacement-minReplacement)))
	}
	name := processName("control", stopped)
	end, _ := s.losses.begin(fault{what: "standstill of " + name, instances: []int{stopped}, scenario: true})
	began := time.Now()
	p := s.process("control", stopped)
	s.log("%s stands still", name)
	p.signal(syscall.SIGSTOP)
	sleep(ctx, pause)
	s.loseDisk(ctx, wiped, true)
	sleep(ctx, time.Until(began.Add(standstill)))
	p.signal(syscall.SIGCONT)
	s.log("%s continues", name)
	end()
}

// loseDisk kills a control instance, which loses its disk, and starts it again, unless
// another disk may not be lost yet.
func (s *Soak) loseDisk(ctx context.Context, n int, scenario bool) {
	name := processName("control", n)
	end, ok := s.losses.begin(fault{what: "loss of the disk of " + name, instances: []int{n}, losesDisk: true, scenario: scenario})
	if !ok {
		return
	}
	defer end()
	s.log("wipe %s", name)
	s.process("control", n).kill()
	s.wipe(n)
	if scenario {
		sleep(ctx, wipeDelay)
	}
	s.restart("control", n)
}

// isolation is a way to cut control instances off from each other.
type isolation int

const (
	bothWays isolation = iota
	outgoing
	incoming
	// openConnections are silent for good, while new ones work.
	openConnections
	// allOpenConnections are those between any two instances.
	allOpenConnections
	isolations = iota
)

func (i isolation) String() string {
	return [isolations]string{
		"in both directions", "in what it sends", "in what it receives", "on its open connections", "on all open connections",
	}[i]
}

// isolate cuts control instance n off from the others. Agents, entries, upstreams and
// operators reach all of them.
func (s *Soak) isolate(ctx context.Context, n int, span time.Duration, how isolation) {
	instances := []int{n}
	if how == allOpenConnections {
		instances = s.losses.numbers()
	}
	what := fmt.Sprintf("cut of %s from the others %s", processName("control", n), how)
	end, _ := s.losses.begin(fault{what: what, instances: instances, scenario: true})
	defer end()
	s.log("%s for %s", what, span)
	if how == openConnections || how == allOpenConnections {
		for _, n := range instances {
			s.eachPeerRelay(n, func(_ bool, r *dragonflycutrelay.Relay) { r.Silence() })
		}
		return
	}
	s.eachPeerRelay(n, func(from bool, r *dragonflycutrelay.Relay) {
		// Answers go the opposite way of requests.
		r.Hold(how == bothWays || from == (how == outgoing), how == bothWays || from == (how == incoming))
	})
	sleep(ctx, span)
	s.eachPeerRelay(n, func(_ bool, r *dragonflycutrelay.Relay) { r.Hold(false, false) })
	s.log("%s is back", processName("control", n))
}
