// Package dragonflylimit adapts the concurrency limit of an upstream to its
// measured latencies.
package dragonflylimit

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
)

const (
	// Interval is the time between decisions. A decision uses a window of the last
	// two intervals, so that an upstream that turns cold is detected within three.
	Interval = 250 * dragonflyduration.Millisecond
	// ColdFactor is the ratio of an upstream's latency to its normal latency from
	// which it counts as cold.
	ColdFactor = 3
	// DefaultCeiling bounds the limit if Ceiling is 0, in requests.
	DefaultCeiling = 256
	// missPercent is the share of samples beyond target that a window may have:
	// targets apply to 95 percent of the samples.
	missPercent = 5
	// nearPercent is the percentage of the target above which a sample counts as
	// near it. The limit is not raised while more than missPercent of the samples
	// are near, because the next step would miss the target for a whole window.
	nearPercent = 90
	// riseDivisor and fallDivisor are the inverse weights of the newest window in
	// the normal latency, for windows above and below it. A rise has a small
	// weight, so that the latencies of an upstream that turns cold do not become
	// the normal ones before it is detected. A fall has a large weight, so that
	// latencies from the warm-up are soon replaced.
	riseDivisor = 32
	fallDivisor = 4
)

// Reasons for changes of the limit that are recorded in the timeline.
const (
	ReasonAnnouncedCold = "announced-cold"
	ReasonTurnedCold    = "turned-cold"
	ReasonWarm          = "warm"
)

// intervalStats sums the samples of one interval. Of all samples, targeted have a
// target, misses are beyond it and near are near or beyond it; gaps and firsts are gaps
// between tokens and times to the first token. peak is the largest number of requests
// that ran at a time.
type intervalStats struct {
	samples, misses int
	near, targeted  int
	gaps, firsts    int
	gapSum          dragonflyduration.Duration
	firstSum        dragonflyduration.Duration
	peak            int
}

// Limit is the concurrency limit of one upstream. The zero value is cold and
// permits no requests until WithAnnounced.
type Limit struct {
	// Increase returns the limit of a warm upstream after a window within target
	// in which the limit was used up; nil adds 1.
	Increase func(limit float64) float64
	// Decrease returns the limit after a window beyond target; nil multiplies
	// it by 0.7.
	Decrease func(limit float64) float64
	// RampUp returns the limit of an upstream that is not warm yet, and does not
	// announce that it is cold, after a window within target in which the limit
	// was used up; nil adds half of it, at least 1.
	RampUp func(limit float64) float64
	// Ceiling bounds the limit; 0 means DefaultCeiling.
	Ceiling int

	value             float64
	coldLimit         int
	announcedCold     bool // the upstream announces that it is cold
	warm              bool
	skipNext          bool // the next interval still has samples from before the last change
	intervalStart     dragonflyinstant.Instant
	current, previous intervalStats
	normalGap         dragonflyduration.Duration
	normalFirst       dragonflyduration.Duration
}

// Value returns the number of requests that may run concurrently.
func (l Limit) Value() int { return int(l.value) }

// Warm reports whether the ramp has ended.
func (l Limit) Warm() bool { return l.warm }

// NormalFirst returns the smoothed time to the first token, 0 if unknown.
func (l Limit) NormalFirst() dragonflyduration.Duration { return l.normalFirst }

// NormalGap returns the smoothed gap between tokens, 0 if unknown.
func (l Limit) NormalGap() dragonflyduration.Duration { return l.normalGap }

// WithAnnounced returns the limit after the upstream has announced whether it is
// cold and how many concurrent requests it accepts while cold. The reason is set if
// it has just turned cold.
func (l Limit) WithAnnounced(cold bool, coldLimit int) (next Limit, reason string) {
	fresh := l.coldLimit == 0 && l.value == 0
	l.coldLimit = max(coldLimit, 0)
	turned := cold && !l.announcedCold
	l.announcedCold = cold
	switch {
	case cold && (turned || l.value > float64(l.coldLimit)):
		l = l.resetToColdLimit()
		if turned {
			reason = ReasonAnnouncedCold
		}
	case cold:
		l.value = float64(l.coldLimit)
	case fresh || l.value < 1:
		l.value = max(float64(l.coldLimit), 1)
	}
	return l, reason
}

// Restarted returns the initial limit, with the same policies, for an upstream
// without samples.
func (l Limit) Restarted() Limit {
	return Limit{Increase: l.Increase, Decrease: l.Decrease, RampUp: l.RampUp, Ceiling: l.Ceiling}
}

// resetToColdLimit sets the limit to that of a cold upstream and discards the
// samples.
func (l Limit) resetToColdLimit() Limit {
	l.warm = false
	l.value = float64(l.coldLimit)
	if !l.announcedCold {
		// An upstream that does not announce that it is cold gets at least one
		// request, since only its latency can show that it has warmed up.
		l.value = max(l.value, 1)
	}
	l.current, l.previous, l.skipNext = intervalStats{}, intervalStats{}, true
	return l
}

// WithInFlight records that n requests are running.
func (l Limit) WithInFlight(n int) Limit {
	l.current.peak = max(l.current.peak, n)
	return l
}

// WithFirst records a time to first token and its target, 0 if it has none.
func (l Limit) WithFirst(latency, target dragonflyduration.Duration) Limit {
	l.current.firsts++
	l.current.firstSum += latency
	l.current = l.current.withSample(1, latency, target)
	return l
}

// WithGaps records n gaps between tokens with the given mean, and their target.
func (l Limit) WithGaps(n int, mean, target dragonflyduration.Duration) Limit {
	l.current.gaps += n
	l.current.gapSum += dragonflyduration.Duration(n) * mean
	l.current = l.current.withSample(n, mean, target)
	return l
}

func (t intervalStats) withSample(n int, latency, target dragonflyduration.Duration) intervalStats {
	t.samples += n
	if target <= 0 {
		return t
	}
	t.targeted += n
	if latency > target {
		t.misses += n
	}
	if latency*100 > target*nearPercent {
		t.near += n
	}
	return t
}

func (t intervalStats) plus(u intervalStats) intervalStats {
	return intervalStats{
		samples: t.samples + u.samples, misses: t.misses + u.misses, near: t.near + u.near, targeted: t.targeted + u.targeted,
		gaps: t.gaps + u.gaps, firsts: t.firsts + u.firsts,
		gapSum: t.gapSum + u.gapSum, firstSum: t.firstSum + u.firstSum,
		peak: max(t.peak, u.peak),
	}
}

func (t intervalStats) meanGap() dragonflyduration.Duration {
	return t.gapSum / dragonflyduration.Duration(max(t.gaps, 1))
}

func (t intervalStats) meanFirst() dragonflyduration.Duration {
	return t.firstSum / dragonflyduration.Duration(max(t.firsts, 1))
}

// Due reports whether the current interval has ended at now.
func (l Limit) Due(now dragonflyinstant.Instant) bool { return now.Sub(l.intervalStart) >= Interval }

// WithTime returns the limit after the decision that is due at now, if any, with
// the reason if it is one for the timeline. inFlight is the number of requests that
// are running.
func (l Limit) WithTime(now dragonflyinstant.Instant, inFlight int) (next Limit, reason string) {
	if !l.Due(now) {
		return l, ""
	}
	w := l.current.plus(l.previous)
	l.intervalStart, l.previous, l.current = now, l.current, intervalStats{peak: inFlight}
	if w.samples == 0 {
		return l, ""
	}
	saturated := w.peak >= l.Value() && l.value >= 1
	if saturated && l.slow(w) {
		if l.value <= float64(max(l.coldLimit, 1)) && !l.warm {
			return l, ""
		}
		return l.resetToColdLimit(), ReasonTurnedCold
	}
	l = l.updateNormal(w)
	if l.skipNext {
		l.skipNext = false
		return l, ""
	}
	return l.adapt(w, saturated)
}

// adapt changes the limit according to the window w. After a change the next
// interval is skipped, so that the next change is based on a whole window at the
// new limit.
func (l Limit) adapt(w intervalStats, saturated bool) (next Limit, reason string) {
	withinTarget := w.misses*100 <= w.samples*missPercent
	headroom := w.near*100 <= w.samples*missPercent
	value := l.value
	switch {
	case l.announcedCold, !withinTarget && !l.warm && l.value <= float64(max(l.coldLimit, 1)):
		// The limit of a cold upstream is announced, not measured.
	case !withinTarget:
		if !l.warm {
			// The ramp has reached the capacity of the upstream.
			l.warm, reason = true, ReasonWarm
		}
		l.value = max(l.decrease(), 1)
	case !saturated || !headroom:
	case l.warm:
		l.value = l.increase()
	case w.samples >= l.Value():
		l.value = l.rampUp()
	}
	if ceiling := l.ceiling(); l.value >= ceiling {
		if !l.warm {
			reason = ReasonWarm
		}
		l.value, l.warm = ceiling, true
	}
	if l.value != value {
		l.skipNext, l.previous = true, intervalStats{}
	}
	return l, reason
}

// slow reports whether the latency of the window is ColdFactor times the normal
// one. Windows within target do not count, because latency rises with the load as
// well. Requests without a target are compared to the normal latency alone.
func (l Limit) slow(w intervalStats) bool {
	if w.targeted == w.samples && w.misses*100 <= w.samples*missPercent {
		return false
	}
	return w.gaps > 0 && l.normalGap > 0 && w.meanGap() >= ColdFactor*l.normalGap ||
		w.firsts > 0 && l.normalFirst > 0 && w.meanFirst() >= ColdFactor*l.normalFirst
}

func (l Limit) updateNormal(w intervalStats) Limit {
	mix := func(normal, mean dragonflyduration.Duration) dragonflyduration.Duration {
		switch {
		case normal == 0:
			return mean
		case mean > normal:
			return normal + (mean-normal)/riseDivisor
		default:
			return normal + (mean-normal)/fallDivisor
		}
	}
	if w.gaps > 0 {
		l.normalGap = mix(l.normalGap, w.meanGap())
	}
	if w.firsts > 0 {
		l.normalFirst = mix(l.normalFirst, w.meanFirst())
	}
	return l
}

func (l Limit) increase() float64 {
	if l.Increase != nil {
		return l.Increase(l.value)
	}
	return l.value + 1
}

func (l Limit) decrease() float64 {
	if l.Decrease != nil {
		return l.Decrease(l.value)
	}
	return l.value * 0.7
}

func (l Limit) rampUp() float64 {
	if l.RampUp != nil {
		return l.RampUp(l.value)
	}
	return l.value + max(l.value/2, 1)
}

func (l Limit) ceiling() float64 {
	if l.Ceiling > 0 {
		return float64(l.Ceiling)
	}
	return DefaultCeiling
}
