package dragonflyhedging

import (
	"slices"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
)

const (
	// maxTimes is the number of times that a window keeps.
	maxTimes = 64
	// minTimes is the number of recent times from which quantiles are known.
	minTimes = 8
	// recentTime is the age up to which a time counts. An entry with one answer a second,
	// which is few, has 30 of them.
	recentTime = 30 * dragonflyduration.Second
)

// sample is the time to one first event or answer.
type sample struct {
	at   dragonflyinstant.Instant
	took dragonflyduration.Duration
}

// window holds the latest times to the first event or answer. It is a value: with copies it.
type window struct {
	samples [maxTimes]sample
	n       int // number of times recorded
}

func (w window) with(now dragonflyinstant.Instant, took dragonflyduration.Duration) window {
	w.samples[w.n%maxTimes] = sample{at: now, took: took}
	w.n++
	return w
}

// quantiles returns lateQuantile and typicalQuantile of the recent times, and whether there
// are enough of them.
func (w window) quantiles(now dragonflyinstant.Instant) (late, typical dragonflyduration.Duration, known bool) {
	var recent []dragonflyduration.Duration
	for _, s := range w.samples[:min(w.n, maxTimes)] {
		if now.Sub(s.at) <= recentTime {
			recent = append(recent, s.took)
		}
	}
	if len(recent) < minTimes {
		return 0, 0, false
	}
	slices.Sort(recent)
	at := func(q float64) dragonflyduration.Duration { return recent[int(q*float64(len(recent)-1))] }
	return at(lateQuantile), at(typicalQuantile), true
}
