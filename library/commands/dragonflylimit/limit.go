// Package dragonflylimit adapts the number of concurrent requests of an upstream
// to the latencies that it shows.
package dragonflylimit

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
)

// Constants of the control loop.
const (
	// Interval is the time between decisions. A decision rests on the last two
	// slots, so an upstream that turns cold is seen within three of them.
	Interval = 250 * dragonflyduration.Millisecond
	// ColdFactor is how many times slower than normal an upstream is that has
	// turned cold.
	ColdFactor = 3
	// DefaultCeiling bounds the limit if Ceiling is 0.
	DefaultCeiling = 256
	// missPercent is the share of samples beyond target that makes a window
	// bad: targets hold for 95 in 100.
	missPercent = 5
	// nearPercent is the part of the target from which a sample is near it. The
	// limit stays where it is while more than missPercent of the samples are
	// near, because one step more would miss the target for a whole window.
	nearPercent = 90
	// riseDivisor and falling are the weight of the newest window in the normal
	// latency, as its inverse, by whether it lies above or below normal. A rise
	// counts little, so that an upstream that turns cold does not pass for
	// normal before it is noticed; a fall counts much, so that latencies from
	// the time when it warmed up are soon forgotten.
	riseDivisor = 32
	fallDivisor = 4
)

// Reasons for a change that is worth a line in the time line.
const (
	ReasonAnnouncedCold = "announced-cold"
	ReasonTurnedCold    = "turned-cold"
	ReasonWarm          = "warm"
)

// intervalStats sums the samples of one slot.
type intervalStats struct {
	samples, misses int
	near, targeted  int
	gaps, firsts    int
	gapSum          dragonflyduration.Duration
	firstSum        dragonflyduration.Duration
	peak            int
}

// Limit is the concurrency limit of one upstream. The zero value is cold and
// bears nothing until WithBearable.
type Limit struct {
	// Increase returns the limit after a window within target during which the
	// limit was used up; nil adds 1.
	Increase func(limit float64) float64
	// Decrease returns the limit after a window beyond target; nil takes 0.7
	// of it.
	Decrease func(limit float64) float64
	// RampUp returns the limit of a cold upstream after a window within target
	// during which the limit was used up; nil adds a half, at least 1.
	RampUp func(limit float64) float64
	// Ceiling bounds the limit; 0 means DefaultCeiling.
	Ceiling int

	value         float64
	coldLimit     int
	announcedCold bool // the upstream says that it is cold
	warm          bool
	skipNext      bool // the next slot still shows the level before the last move
	intervalStart dragonflyinstant.Instant
	now, last     intervalStats
	normalGap     dragonflyduration.Duration
	normalFirst   dragonflyduration.Duration
}

// Value returns the number of requests that may run at a time.
func (l Limit) Value() int { return int(l.value) }

// Warm reports whether the ramp has ended.
func (l Limit) Warm() bool { return l.warm }

// NormalFirst returns the smoothed time to the first token, 0 if unknown.
func (l Limit) NormalFirst() dragonflyduration.Duration { return l.normalFirst }

// NormalGap returns the smoothed gap between tokens, 0 if unknown.
func (l Limit) NormalGap() dragonflyduration.Duration { return l.normalGap }

// WithAnnounced returns the limit after the upstream has said whether it is cold
// and how many requests it bears while it is.
func (l Limit) WithAnnounced(cold bool, bearable int) (next Limit, reason string) {
	fresh := l.coldLimit == 0 && l.value == 0
	l.coldLimit = max(bearable, 0)
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

// Restarted returns the limit, with its policies, as for an upstream that nothing
// is known of.
func (l Limit) Restarted() Limit {
	return Limit{Increase: l.Increase, Decrease: l.Decrease, RampUp: l.RampUp, Ceiling: l.Ceiling}
}

// resetToColdLimit puts the limit to what a cold upstream bears and forgets its samples.
func (l Limit) resetToColdLimit() Limit {
	l.warm = false
	l.value = float64(l.coldLimit)
	if !l.announcedCold {
		// An upstream that does not say that it is cold gets one request at a
		// time, since nothing else could show that it has warmed up.
		l.value = max(l.value, 1)
	}
	l.now, l.last, l.skipNext = intervalStats{}, intervalStats{}, true
	return l
}

// WithInFlight records that n requests run.
func (l Limit) WithInFlight(n int) Limit {
	l.now.peak = max(l.now.peak, n)
	return l
}

// WithFirst records a time to first token and its target, 0 if there is none.
func (l Limit) WithFirst(latency, target dragonflyduration.Duration) Limit {
	l.now.firsts++
	l.now.firstSum += latency
	l.now = l.now.withSample(1, latency, target)
	return l
}

// WithGaps records n gaps between tokens of the given mean, and their target.
func (l Limit) WithGaps(n int, mean, target dragonflyduration.Duration) Limit {
	l.now.gaps += n
	l.now.gapSum += dragonflyduration.Duration(n) * mean
	l.now = l.now.withSample(n, mean, target)
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

// Due reports whether a slot has ended.
func (l Limit) Due(now dragonflyinstant.Instant) bool { return now.Sub(l.intervalStart) >= Interval }

// WithTime returns the limit after the decision that is due at now, if any.
// InFlight is the number of requests that run at now.
func (l Limit) WithTime(now dragonflyinstant.Instant, inFlight int) (next Limit, reason string) {
	if !l.Due(now) {
		return l, ""
	}
	w := l.now.plus(l.last)
	l.intervalStart, l.last, l.now = now, l.now, intervalStats{peak: inFlight}
	if w.samples == 0 {
		return l, ""
	}
	full := w.peak >= l.Value() && l.value >= 1
	if full && l.slow(w) {
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
	return l.adapt(w, full)
}

// adapt moves the limit by what the window w shows. After a move the next slot
// is skipped, so that a whole window at the new level is behind the next move.
func (l Limit) adapt(w intervalStats, full bool) (next Limit, reason string) {
	good := w.misses*100 <= w.samples*missPercent
	room := w.near*100 <= w.samples*missPercent
	value := l.value
	switch {
	case l.announcedCold, !good && !l.warm && l.value <= float64(max(l.coldLimit, 1)):
		// What a cold upstream bears is announced, not measured.
	case !good:
		if !l.warm {
			// The ramp has found the level that the upstream bears.
			l.warm, reason = true, ReasonWarm
		}
		l.value = max(l.decrease(), 1)
	case !full || !room:
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
		l.skipNext, l.last = true, intervalStats{}
	}
	return l, reason
}

// slow reports whether the window is much slower than normal. Latencies within
// target do not count, because they rise with the load as well; requests without
// a target have nothing else to go by.
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
