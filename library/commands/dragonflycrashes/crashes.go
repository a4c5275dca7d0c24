// Package dragonflycrashes keeps the crashes of servers with the requests and prompt parts that
// had no answer, on control. What speaks for a key is an answer and not the passing of time: a
// leader keeps a key of a crash until an entry reports an answer to it, within bounds that drop
// the weakest evidence first. Other instances receive no answers and keep crashes for a while
// only, besides those that the leader has recorded in the replicated log.
package dragonflycrashes

import (
	"cmp"
	"slices"
	"strconv"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflycrash"
	"dragonflyrelay.example/library/values/dragonflyloss"
	"dragonflyrelay.example/library/values/dragonflypromptpart"
)

const (
	// SettleTime is the time from the first report of a loss after which all entries have
	// reported it. Before, the keys of a crash may lack the one that caused it.
	SettleTime = 200 * dragonflyduration.Millisecond
	// RecentTime is the age up to which a crash keeps all of its keys, and up to which an
	// instance without the lead keeps a crash that is not recorded. The requests that waited
	// for a model are lost again within it.
	RecentTime = 30 * dragonflyduration.Second
	// separateTime is the time between two losses at a server after which they have
	// different causes. All entries lose the requests at a server that crashes at once.
	separateTime = dragonflyduration.Second
	// confirmTime is the time from the report of a loss in which the server must be
	// known to have stopped. Otherwise the loss is no crash: connections break too.
	confirmTime = 6 * dragonflyduration.Second
	// maxCrashes and maxKeys bound the crashes and their keys.
	maxCrashes = 256
	maxKeys    = 24_576
)

// Crashes are the crashes that an instance knows of. The zero Crashes is empty and that of an
// instance without the lead.
type Crashes struct {
	all      dragonflymap.Map[string, dragonflycrash.Crash]     // by server and boot
	servedAt dragonflymap.Map[string, dragonflyinstant.Instant] // latest answers to keys of crashes
	leads    bool
	changes  uint64                   // rises with each change of the crashes and the answers
	compact  uint64                   // changes at the latest look for answered keys
	nextOld  dragonflyinstant.Instant // when the next crash ceases to be recent
}

// Changes returns a number that rises with each change of the evidence.
func (s Crashes) Changes() uint64 { return s.changes }

// Len returns the number of crashes and losses.
func (s Crashes) Len() int { return s.all.Len() }

// WithLead returns the crashes of an instance that begins or ceases to lead. The crashes that it
// keeps as the leader are those that it has recorded.
func (s Crashes) WithLead(leads bool) Crashes {
	if s.leads && !leads {
		for key, c := range s.all.All() {
			if c.Confirmed() {
				s.all = s.all.With(key, c.WithRecorded())
			}
		}
	}
	s.leads = leads
	s.changes++
	return s
}

// SpeaksAgainst reports whether the crash c speaks against the key id: it was in a request
// without an answer and was not answered since.
func (s Crashes) SpeaksAgainst(c dragonflycrash.Crash, id string) bool {
	if !c.Has(id) {
		return false
	}
	at, ok := s.servedAt.Get(id)
	return !ok || !at.After(c.At())
}

// Answered reports whether an answer to the key id is known, before or after its crashes.
func (s Crashes) Answered(id string) bool {
	_, ok := s.servedAt.Get(id)
	return ok
}

// Has reports whether the key id is in a crash.
func (s Crashes) Has(id string) bool {
	for _, c := range s.all.All() {
		if c.Has(id) {
			return true
		}
	}
	return false
}

// Settled returns the confirmed crashes that all entries have reported, in the order of their
// times.
func (s Crashes) Settled(now dragonflyinstant.Instant) (all []dragonflycrash.Crash) {
	for _, c := range s.all.All() {
		if c.Confirmed() && now.Sub(c.ReportedAt()) >= SettleTime {
			all = append(all, c)
		}
	}
	slices.SortStableFunc(all, func(a, b dragonflycrash.Crash) int { return cmp.Compare(a.At(), b.At()) })
	return all
}

func key(server string, boot int64) string { return server + " " + strconv.FormatInt(boot, 10) }

// WithLosses returns the crashes with the losses that an entry has reported.
func (s Crashes) WithLosses(now dragonflyinstant.Instant, losses []dragonflyloss.Loss) Crashes {
	for _, l := range losses {
		k := key(l.ID, l.Boot)
		c, ok := s.all.Get(k)
		at := now.Add(-l.Age)
		if !ok && now.Sub(at) > RecentTime {
			continue
		}
		if ok && c.At().Sub(at) > separateTime {
			continue
		}
		if ok && !c.Confirmed() && at.Sub(c.At()) > separateTime {
			s.all, ok = s.all.Without(k), false // The server has lived on.
		}
		if !ok {
			s = s.withRoom()
			c = dragonflycrash.New(l.ID, l.Boot, at, now)
		}
		c = c.WithAt(min(c.At(), at))
		if l.Refused {
			c = c.WithConfirmed()
		}
		for _, p := range l.Parts {
			c = c.WithKey(now, p)
		}
		s.all = s.all.With(k, c)
		s.changes++
		s = s.WithServed(now, l.Parts)
	}
	return s
}

// WithServed records when requests with the keys were last answered. The keys are in crashes.
func (s Crashes) WithServed(now dragonflyinstant.Instant, keys []dragonflypromptpart.Part) Crashes {
	for _, p := range keys {
		if !p.Served {
			continue
		}
		at := now.Add(-p.ServedAge)
		if before, ok := s.servedAt.Get(p.ID); !ok || before.Before(at) {
			s.servedAt = s.servedAt.With(p.ID, at)
			s.changes++
		}
	}
	return s
}

// Confirmed returns the crashes after a look at the servers at now: losses of servers that have
// stopped are crashes, and losses that are not are dropped. Stopped reports whether a start of
// a server is known to have ended without leaving.
func (s Crashes) Confirmed(now dragonflyinstant.Instant, stopped func(server string, boot int64) bool) Crashes {
	dropped := false
	for k, c := range s.all.All() {
		switch {
		case c.Confirmed():
		case now.Sub(c.ReportedAt()) > confirmTime || now.Sub(c.At()) > RecentTime:
			s.all, dropped = s.all.Without(k), true
			s.changes++
		case stopped(c.Server(), c.Boot()):
			s.all = s.all.With(k, c.WithConfirmed())
			s.changes++
		}
	}
	return s.compacted(now, dropped)
}
