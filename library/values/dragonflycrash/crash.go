// Package dragonflycrash defines a server that was lost with requests that had no answer.
package dragonflycrash

import (
	"dragonflyrelay.example/library/common/dragonflyfingerprint"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflypromptpart"
)

// MaxParts and MaxRequests bound the keys of a crash. Up to 144 requests wait at an engine
// that crashes.
const (
	MaxParts    = 128
	MaxRequests = 256
)

// Crash is the loss of one start of a server with the keys of the requests that had no answer:
// the ids of their shared prompt parts and their fingerprints. It is a crash once it is
// confirmed; connections break too.
type Crash struct {
	server         string
	boot           int64
	at, reportedAt dragonflyinstant.Instant
	confirmed      bool
	alone          bool
	recorded       bool
	site           string
	parts          dragonflymap.Map[string, int]                      // depth by id
	requests       dragonflymap.Map[string, dragonflyinstant.Instant] // when each was last sent, by fingerprint
}

// New returns the loss of the given start of a server at an instant, without keys.
func New(server string, boot int64, at, reportedAt dragonflyinstant.Instant) Crash {
	return Crash{server: server, boot: boot, at: at, reportedAt: reportedAt}
}

// Server returns the id of the server.
func (c Crash) Server() string { return c.server }

// Boot identifies the start of the server.
func (c Crash) Boot() int64 { return c.boot }

// At returns when the first request was lost.
func (c Crash) At() dragonflyinstant.Instant { return c.at }

// ReportedAt returns when the first report of the loss arrived.
func (c Crash) ReportedAt() dragonflyinstant.Instant { return c.reportedAt }

// Confirmed reports whether the server is known to have stopped.
func (c Crash) Confirmed() bool { return c.confirmed }

// Alone reports whether most of the other servers of its domain are known to have lived on, so
// that it did not stop together with them.
func (c Crash) Alone() bool { return c.alone }

// Site names the domain of the server, "" if it is not known.
func (c Crash) Site() string { return c.site }

// Recorded reports whether the crash comes from the replicated log, whose keys are those that
// were not answered since.
func (c Crash) Recorded() bool { return c.recorded }

// Parts returns the ids of prompt parts with their depths.
func (c Crash) Parts() dragonflymap.Map[string, int] { return c.parts }

// Requests returns the fingerprints of requests with the times at which they were last sent.
func (c Crash) Requests() dragonflymap.Map[string, dragonflyinstant.Instant] { return c.requests }

// Len returns the number of keys.
func (c Crash) Len() int { return c.parts.Len() + c.requests.Len() }

// Has reports whether the key id was in a request without an answer.
func (c Crash) Has(id string) (ok bool) {
	if dragonflyfingerprint.Is(id) {
		_, ok = c.requests.Get(id)
		return ok
	}
	_, ok = c.parts.Get(id)
	return ok
}

// Keys returns all keys, the parts first.
func (c Crash) Keys() (ids []string) {
	for id := range c.parts.All() {
		ids = append(ids, id)
	}
	for id := range c.requests.All() {
		ids = append(ids, id)
	}
	return ids
}

// WithAt returns the crash with the time at which the first request was lost.
func (c Crash) WithAt(at dragonflyinstant.Instant) Crash {
	c.at = at
	return c
}

// WithConfirmed returns the crash of a server that is known to have stopped.
func (c Crash) WithConfirmed() Crash {
	c.confirmed = true
	return c
}

// WithAlone returns the crash of a server that did not stop together with others.
func (c Crash) WithAlone() Crash {
	c.alone = true
	return c
}

// WithSite returns the crash with the domain of the server.
func (c Crash) WithSite(site string) Crash {
	c.site = site
	return c
}

// WithRecorded returns the crash as one of the replicated log.
func (c Crash) WithRecorded() Crash {
	c.recorded = true
	return c
}

// WithKey returns the crash with another key, which its report at now describes. A key beyond
// the bounds is left out.
func (c Crash) WithKey(now dragonflyinstant.Instant, p dragonflypromptpart.Part) Crash {
	switch {
	case dragonflyfingerprint.Is(p.ID) && c.requests.Len() < MaxRequests:
		c.requests = c.requests.With(p.ID, now.Add(-p.SentAge))
	case !dragonflyfingerprint.Is(p.ID) && c.parts.Len() < MaxParts:
		c.parts = c.parts.With(p.ID, p.Depth)
	}
	return c
}

// WithoutKey returns the crash without the key id.
func (c Crash) WithoutKey(id string) Crash {
	if dragonflyfingerprint.Is(id) {
		c.requests = c.requests.Without(id)
	} else {
		c.parts = c.parts.Without(id)
	}
	return c
}

// WithoutKeys returns the crash without any key.
func (c Crash) WithoutKeys() Crash {
	c.parts, c.requests = dragonflymap.Map[string, int]{}, dragonflymap.Map[string, dragonflyinstant.Instant]{}
	return c
}
