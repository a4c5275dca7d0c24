// Package dragonflyquarantine finds the requests that crash servers and the parts of prompts
// that crash engines, on control, from the losses that all entries report.
//
// A request or a part is suspected if servers crashed at several moments while they had
// it and had not answered it yet, and it was not answered since. Quarantined requests, and
// requests with a quarantined part, are refused, but for single probes: an answer ends
// the quarantine, another crash doubles the time to the next probe.
package dragonflyquarantine

import (
	"iter"
	"strconv"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyfingerprint"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflyloss"
	"dragonflyrelay.example/library/values/dragonflypromptpart"
	"dragonflyrelay.example/library/values/dragonflyquarantinedpart"
)

const (
	// suspectMoments is the number of moments of crashes that make a key suspect, and
	// answeredMoments that for a key that was answered before them. While no group of a
	// model serves, the parts of waiting requests are lost with each one that opens.
	suspectMoments  = 3
	answeredMoments = 5
	// settleTime is the time from the first report of a loss after which all entries have
	// reported it. Before, the parts of a crash may lack the one that caused it.
	settleTime = 200 * dragonflyduration.Millisecond
	// evidenceTime is the age at which a crash no longer makes a part suspect.
	evidenceTime = 30 * dragonflyduration.Second
	// separateTime is the time between two losses at a server after which they have
	// different causes. All entries lose the requests at a server that crashes at once.
	separateTime = dragonflyduration.Second
	// confirmTime is the time from the report of a loss in which the engine must be
	// known to have stopped. Otherwise the loss is no crash: connections break too.
	confirmTime = 6 * dragonflyduration.Second
	// maxProbeInterval bounds the time between two probes, which doubles with each crash.
	maxProbeInterval = 5 * dragonflyduration.Minute
	// grantTime is how long a permission to probe holds, and probeTime the time until
	// another one is given if the outcome of the probe is not known.
	grantTime = 8 * dragonflyduration.Second
	probeTime = 10 * dragonflyduration.Second
	// maxCrashes bounds the crashes, maxCrashParts and maxCrashRequests the parts and the
	// requests of each, and maxParts and maxRequests those in quarantine. Up to 144
	// requests wait at an engine that crashes.
	maxCrashes       = 64
	maxCrashParts    = 128
	maxCrashRequests = 256
	maxParts         = 64
	maxRequests      = 256
)

// crash is a server that was lost with requests that had no answer.
type crash struct {
	id             string
	boot           int64
	at, reportedAt dragonflyinstant.Instant
	confirmed      bool
	parts          dragonflymap.Map[string, int]                      // depth by id
	requests       dragonflymap.Map[string, dragonflyinstant.Instant] // when each was last sent, by fingerprint
}

// has reports whether the key id was in a request without an answer.
func (c crash) has(id string) (ok bool) {
	if dragonflyfingerprint.Is(id) {
		_, ok = c.requests.Get(id)
		return ok
	}
	_, ok = c.parts.Get(id)
	return ok
}

func (c crash) with(now dragonflyinstant.Instant, p dragonflypromptpart.Part) crash {
	switch {
	case dragonflyfingerprint.Is(p.ID) && c.requests.Len() < maxCrashRequests:
		c.requests = c.requests.With(p.ID, now.Add(-p.SentAge))
	case !dragonflyfingerprint.Is(p.ID) && c.parts.Len() < maxCrashParts:
		c.parts = c.parts.With(p.ID, p.Depth)
	}
	return c
}

// quarantined is the state of a quarantined key.
type quarantined struct {
	since, probeAt dragonflyinstant.Instant
	interval       dragonflyduration.Duration
	moments        int // of crashes that spoke against it
	grant          uint64
	grantedTo      string                   // process that may probe, "" for none
	grantedAt      dragonflyinstant.Instant // latest grant, 0 for none
}

// Quarantine is the state of suspected keys: ids of parts and fingerprints of requests. The
// zero Quarantine is empty.
type Quarantine struct {
	crashes   dragonflymap.Map[string, crash]                    // by id and boot
	servedAt  dragonflymap.Map[string, dragonflyinstant.Instant] // of the keys in crashes
	parts     dragonflymap.Map[string, quarantined]              // by part
	requests  dragonflymap.Map[string, quarantined]              // by fingerprint
	lastGrant uint64
	revision  uint64
	evidence  uint64 // rises with each change of the crashes and the answers
	judged    judgement
}

// judgement identifies the state for which the suspects were last searched. The search
// costs more than all else and most decisions find the same state.
type judgement struct {
	evidence, revision uint64
	settled            int // number of settled crashes
}

// Revision returns a number that rises with each change of the quarantined keys.
func (q Quarantine) Revision() uint64 { return q.revision }

// Empty reports whether there is nothing to decide.
func (q Quarantine) Empty() bool { return q.crashes.Len()+q.parts.Len()+q.requests.Len() == 0 }

// Quarantines reports whether the key id is quarantined.
func (q Quarantine) Quarantines(id string) bool {
	_, ok := q.get(id)
	return ok
}

func (q Quarantine) get(id string) (e quarantined, ok bool) {
	if dragonflyfingerprint.Is(id) {
		return q.requests.Get(id)
	}
	return q.parts.Get(id)
}

// all returns the quarantined keys, the parts first.
func (q Quarantine) all() iter.Seq2[string, quarantined] {
	return func(yield func(string, quarantined) bool) {
		for id, e := range q.parts.All() {
			if !yield(id, e) {
				return
			}
		}
		for id, e := range q.requests.All() {
			if !yield(id, e) {
				return
			}
		}
	}
}

// hasRoom reports whether the key id may be quarantined within the bounds.
func (q Quarantine) hasRoom(id string) bool {
	if dragonflyfingerprint.Is(id) {
		return q.requests.Len() < maxRequests
	}
	return q.parts.Len() < maxParts
}

// Parts returns the quarantined keys as the process is to see them.
func (q Quarantine) Parts(now dragonflyinstant.Instant, process string) (all []dragonflyquarantinedpart.Part) {
	for id, e := range q.all() {
		p := dragonflyquarantinedpart.Part{ID: id, Since: now.Sub(e.since), ProbeIn: e.probeAt.Sub(now), Interval: e.interval}
		if left := e.grantedAt.Add(grantTime).Sub(now); e.grantedTo == process && process != "" && left > 0 {
			p.Grant, p.GrantLeft = e.grant, left
		}
		all = append(all, p)
	}
	return all
}

// WithKnown returns the quarantine with the keys that an entry knows from an earlier
// leader. The later of two times to the next probe holds, because it follows a crash of
// which only one of them knows.
func (q Quarantine) WithKnown(now dragonflyinstant.Instant, known []dragonflyquarantinedpart.Part) Quarantine {
	for _, p := range known {
		// The earlier leader has weighed the answers before the crashes.
		e := quarantined{moments: answeredMoments, since: now.Add(-p.Since), probeAt: now.Add(p.ProbeIn), interval: min(max(p.Interval, dragonflyquarantinedpart.ProbeInterval), maxProbeInterval)}
		if now.Sub(e.probeAt) > dragonflyquarantinedpart.EndDelay {
			continue
		}
		before, ok := q.get(p.ID)
		if ok && before.interval < e.interval {
			before.probeAt, before.interval = max(before.probeAt, e.probeAt), e.interval
			q = q.withPart(p.ID, before)
		}
		if ok || !q.hasRoom(p.ID) {
			continue
		}
		q = q.withPart(p.ID, e)
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
		if ok && c.at.Sub(at) > separateTime {
			continue
		}
		if ok && !c.confirmed && at.Sub(c.at) > separateTime {
			q.crashes, ok = q.crashes.Without(key), false // The server has lived on.
		}
		if !ok {
			q = q.withRoom()
			c = crash{id: l.ID, boot: l.Boot, at: at, reportedAt: now}
		}
		c.at, c.confirmed = min(c.at, at), c.confirmed || l.Refused
		for _, p := range l.Parts {
			c = c.with(now, p)
		}
		q.crashes = q.crashes.With(key, c)
		q.evidence++
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
			q.evidence++
		}
	}
	return q
}
