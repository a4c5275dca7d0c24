// Package dragonflyquarantine finds the parts of prompts that crash engines, on the
// leading control instance, from the losses that all entries report.
//
// A part is suspected if engines crashed at several moments while they had a request with
// it that was not answered yet, and no request with it was answered since. Requests with
// a quarantined part are refused, but for single probes: an answer ends the quarantine,
// another crash doubles the time to the next probe.
package dragonflyquarantine

import (
	"strconv"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflyloss"
	"dragonflyrelay.example/library/values/dragonflypromptpart"
	"dragonflyrelay.example/library/values/dragonflyquarantinedpart"
)

const (
	// suspectMoments is the number of moments of crashes that make a part suspect, and
	// answeredMoments that for a part that was answered before them. While no group of a
	// model serves, the parts of waiting requests are lost with each one that opens.
	suspectMoments  = 3
	answeredMoments = 5
	// momentLength is the time within which crashes count as one: a common cause takes
	// the engines of a domain or a zone away together.
	momentLength = 200 * dragonflyduration.Millisecond
	// settleTime is the time from the first report of a loss after which all entries have
	// reported it. Before, the parts of a crash may lack the one that caused it.
	settleTime = 200 * dragonflyduration.Millisecond
	// evidenceTime is the age at which a crash no longer makes a part suspect.
	evidenceTime = 30 * dragonflyduration.Second
	// confirmTime is the time from the report of a loss in which the engine must be
	// known to have stopped. Otherwise the loss is no crash: connections break too.
	confirmTime = 6 * dragonflyduration.Second
	// probeInterval is the time from a quarantine to the first probe, which doubles with
	// each crash up to maxProbeInterval.
	probeInterval    = 15 * dragonflyduration.Second
	maxProbeInterval = 5 * dragonflyduration.Minute
	// grantTime is how long a permission to probe holds, and probeTime the time until
	// another one is given if the outcome of the probe is not known.
	grantTime = 8 * dragonflyduration.Second
	probeTime = 10 * dragonflyduration.Second
	// maxCrashes bounds the crashes, maxCrashParts the parts of each, and maxParts the
	// parts in quarantine.
	maxCrashes    = 64
	maxCrashParts = 128
	maxParts      = 64
)

// crash is an engine that was lost with requests that had no answer.
type crash struct {
	id             string
	boot           int64
	at, reportedAt dragonflyinstant.Instant
	confirmed      bool
	parts          dragonflymap.Map[string, int] // depth by id
}

// quarantined is the state of a quarantined part.
type quarantined struct {
	since, probeAt dragonflyinstant.Instant
	interval       dragonflyduration.Duration
	moments        int // of crashes that spoke against it
	grant          uint64
	grantedTo      string                   // process that may probe, "" for none
	grantedAt      dragonflyinstant.Instant // latest grant, 0 for none
}

// Quarantine is the leader's state of suspected parts. The zero Quarantine is empty.
type Quarantine struct {
	crashes   dragonflymap.Map[string, crash]                    // by id and boot
	servedAt  dragonflymap.Map[string, dragonflyinstant.Instant] // of the parts in crashes
	parts     dragonflymap.Map[string, quarantined]
	lastGrant uint64
	revision  uint64
}

// Revision returns a number that rises with each change of the quarantined parts.
func (q Quarantine) Revision() uint64 { return q.revision }

// Empty reports whether there is nothing to decide.
func (q Quarantine) Empty() bool { return q.crashes.Len() == 0 && q.parts.Len() == 0 }

// Quarantines reports whether the part id is quarantined.
func (q Quarantine) Quarantines(id string) bool {
	_, ok := q.parts.Get(id)
	return ok
}

// Parts returns the quarantined parts as the process is to see them.
func (q Quarantine) Parts(now dragonflyinstant.Instant, process string) (all []dragonflyquarantinedpart.Part) {
	for id, e := range q.parts.All() {
		p := dragonflyquarantinedpart.Part{ID: id, Since: now.Sub(e.since), ProbeIn: e.probeAt.Sub(now), Interval: e.interval}
		if left := e.grantedAt.Add(grantTime).Sub(now); e.grantedTo == process && process != "" && left > 0 {
			p.Grant, p.GrantLeft = e.grant, left
		}
		all = append(all, p)
	}
	return all
}

// WithKnown returns the quarantine with the parts that an entry knows from an earlier
// leader.
func (q Quarantine) WithKnown(now dragonflyinstant.Instant, known []dragonflyquarantinedpart.Part) Quarantine {
	for _, p := range known {
		// The earlier leader has weighed the answers before the crashes.
		e := quarantined{moments: answeredMoments, since: now.Add(-p.Since), probeAt: now.Add(p.ProbeIn), interval: min(max(p.Interval, probeInterval), maxProbeInterval)}
		if _, ok := q.parts.Get(p.ID); ok || q.parts.Len() >= maxParts || now.Sub(e.probeAt) > dragonflyquarantinedpart.EndDelay {
			continue
		}
		q.parts = q.parts.With(p.ID, e)
		q.revision++
	}
	return q
}

// WithLosses returns the quarantine with the losses that an entry has reported.
func (q Quarantine) WithLosses(now dragonflyinstant.Instant, losses []dragonflyloss.Loss) Quarantine {
	for _, l := range losses {
		key := l.ID + " " + strconv.FormatInt(l.Boot, 10)
		c, ok := q.crashes.Get(key)
		at := now.Add(-l.Age)
		if !ok && now.Sub(at) > evidenceTime {
			continue
		}
		if !ok {
			q = q.withRoom()
			c = crash{id: l.ID, boot: l.Boot, at: at, reportedAt: now}
		}
		c.at = min(c.at, at)
		for _, p := range l.Parts {
			if c.parts.Len() < maxCrashParts {
				c.parts = c.parts.With(p.ID, p.Depth)
			}
		}
		q.crashes = q.crashes.With(key, c)
		q = q.withServed(now, l.Parts)
	}
	return q
}

// withRoom returns the quarantine without the oldest crash if there is no room for another.
func (q Quarantine) withRoom() Quarantine {
	if q.crashes.Len() < maxCrashes {
		return q
	}
	oldest := ""
	var at dragonflyinstant.Instant
	for key, c := range q.crashes.All() {
		if oldest == "" || c.at.Before(at) {
			oldest, at = key, c.at
		}
	}
	q.crashes = q.crashes.Without(oldest)
	return q
}

// withServed records when requests with the parts were last answered.
func (q Quarantine) withServed(now dragonflyinstant.Instant, parts []dragonflypromptpart.Part) Quarantine {
	for _, p := range parts {
		if !p.Served {
			continue
		}
		at := now.Add(-p.ServedAge)
		if before, ok := q.servedAt.Get(p.ID); !ok || before.Before(at) {
			q.servedAt = q.servedAt.With(p.ID, at)
		}
	}
	return q
}
