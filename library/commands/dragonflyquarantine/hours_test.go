package dragonflyquarantine_test

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	. "github.com/smartystreets/goconvey/convey"
)

const (
	// hoursVariable holds the simulated hours of each case, which are a quarter in the default run,
	// and seedsVariable the number of seeds.
	hoursVariable = "DRAGONFLY_SIMULATED_HOURS"
	seedsVariable = "DRAGONFLY_SIMULATED_SEEDS"
	soundKeys     = 10_000
	commonKeys    = 100
	minute        = 60 * second
)

// pattern is how requests with deadly keys come.
type pattern struct {
	name     string
	parts    int // deadly parts, sent in turn
	requests int // deadly requests, sent in turn
	interval dragonflyduration.Duration
	burst    int // requests at a time
	beside   int // sound parts that come at the same moments and never otherwise
	faults   int // steps between two faults on average, 1000 for 0
	rate     int // sound requests a step, one in four steps for 0
}

// hours plays a long time with sound keys of which most come seldom, crashes of other causes, and
// processes that end.
type hours struct {
	*simulation
	pattern
	domainLost bool // a domain stops again and again
	nextAt     dragonflyinstant.Instant
	turn       int
}

// traffic sends what comes at one step.
func (h *hours) traffic() {
	h.replicate()
	sends := h.rate
	if sends == 0 && h.r.IntN(4) == 0 {
		sends = 1
	}
	for range sends {
		subject := h.r.IntN(soundKeys)
		if h.r.IntN(2) == 0 {
			subject = h.r.IntN(commonKeys)
		}
		h.send(h.r.IntN(len(h.entries)), h.keys(fmt.Sprint("a", h.r.IntN(3)), fmt.Sprint("s", subject)), 0, 0)
	}
	if len(h.deadly) > 0 && !h.now.Before(h.nextAt) {
		h.nextAt = h.now.Add(h.interval)
		for range h.burst {
			h.sendDeadly(h.turn % len(h.deadly))
		}
		for i := range h.beside {
			h.send(h.r.IntN(len(h.entries)), h.keys("a0", fmt.Sprint("beside", i)), 0, 0)
		}
		h.turn++
	}
	// Once in 20 s on average, unless the case has more.
	if h.r.IntN(cmp.Or(h.faults, 1000)) == 0 {
		h.fault()
	}
}

func (h *hours) fault() {
	entry := h.r.IntN(len(h.entries))
	switch n := h.r.IntN(40); {
	case n == 0:
		h.killAll()
	case n == 1:
		h.loseLeader()
	case n < 4:
		h.entries[entry] = &simulatedEntry{joinedAt: h.now}
	case n < 6:
		h.entries[entry].cutUntil = h.now.Add(dragonflyduration.Duration(h.r.IntN(6000)) * millisecond)
	case n < 10 || h.domainLost && n < 20:
		lost := h.engines[h.r.IntN(len(h.engines))].domain
		for _, e := range h.engines {
			if e.domain == lost {
				h.crash(e)
			}
		}
	case n < 14:
		for range 3 {
			h.crash(h.engines[h.r.IntN(len(h.engines))])
		}
	default:
		h.crash(h.engines[h.r.IntN(len(h.engines))])
	}
}

// number returns the value of an environment variable, or that of the default run.
func number(variable string, short float64) float64 {
	if n, err := strconv.ParseFloat(os.Getenv(variable), 64); err == nil {
		return n
	}
	return short
}

// TestHours guards against deadly keys that are forgotten because they come seldom, in bursts or
// before all processes end, and against sound ones that are held for what is remembered.
func TestHours(t *testing.T) {
	length := dragonflyduration.Duration(number(hoursVariable, 0.25) * float64(hour))
	patterns := []pattern{
		{name: "no deadly key"},
		{name: "no deadly key, and a domain that stops again and again"},
		{name: "no deadly key, and a fault every second beside many requests", faults: 50, rate: 2},
		{name: "a part every 5 s beside 12 sound ones", parts: 1, interval: 5 * second, burst: 1, beside: 12},
		{name: "bursts of six requests", parts: 1, interval: 6 * second, burst: 6},
		{name: "a burst of six every ten minutes", parts: 1, interval: 10 * minute, burst: 6},
		{name: "bursts of copies of a request", requests: 1, interval: 10 * second, burst: 6},
		{name: "two parts in turn", parts: 2, interval: 16 * second, burst: 1},
		{name: "two requests and two parts in turn", parts: 2, requests: 2, interval: 16 * second, burst: 1},
	}
	for _, interval := range []dragonflyduration.Duration{second, 5 * second, 16 * second, minute, 2 * minute, 10 * minute} {
		name := fmt.Sprintf("every %g s", interval.Seconds())
		patterns = append(patterns, pattern{name: "a part " + name, parts: 1, interval: interval, burst: 1}, pattern{name: "a request " + name, requests: 1, interval: interval, burst: 1})
	}
	for i, p := range patterns {
		for seed := range uint64(number(seedsVariable, 1)) {
			Convey(fmt.Sprintf("%s, seed %d", p.name, seed), t, func() {
				h := &hours{simulation: newSimulation(seed*100+uint64(i), 6, 18, p.parts, p.requests), pattern: p, domainLost: i == 1}
				h.playWith(length, h.traffic)
				most := 0
				for _, dead := range h.deadly {
					most = max(most, h.late[dead])
				}
				t.Logf("%s, seed %d: late %v, crashes %v, %d of %d sound requests refused, for %d keys",
					p.name, seed, h.late, counts(h.crashes), h.wrong, h.sound, len(h.wrongKeys))
				So(most, ShouldBeLessThanOrEqualTo, lateArrivals)
				So(float64(h.wrong), ShouldBeLessThanOrEqualTo, 0.001*float64(h.sound))
			})
		}
	}
}

// counts returns the number of crashes by key, sorted.
func counts(crashes map[string][]dragonflyinstant.Instant) (all []string) {
	for id, at := range crashes {
		all = append(all, fmt.Sprintf("%s: %d", id, len(at)))
	}
	slices.Sort(all)
	return all
}
