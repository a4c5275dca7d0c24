package dragonflyfleet

import (
	"slices"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflydocument"
	"dragonflyrelay.example/library/values/dragonflyfleetevent"
)

// entryTable is the routing table of an entry, by its latest request.
type entryTable struct {
	askedAt  dragonflyinstant.Instant
	revision uint64   // of the table, 0 if an earlier leader sent it
	dropped  []string // ids of the upstreams that the table lacks and that still have streams of the entry
}

// observeEntryTable records the routing table that the entry of ev has.
func (s *step) observeEntryTable(ev dragonflyfleetevent.Event) {
	if !s.leads {
		return
	}
	t := entryTable{askedAt: s.now, dropped: ev.Dropped}
	if ev.EntryTerm == s.term {
		t.revision = ev.Revision
	}
	s.entryTables = s.entryTables.With(ev.Process, t)
}

// removeEntryTables drops the entries that have not asked for EntryForgottenAfter and have no
// streams left.
func (s *step) removeEntryTables() {
	for name, t := range s.entryTables.All() {
		if s.silence(t.askedAt) > EntryForgottenAfter+s.longestStream {
			s.entryTables = s.entryTables.Without(name)
		}
	}
}

// heartbeatSeries is the time for which heartbeats have arrived without a gap of DownAfter when
// the latest one counts as fresh. It covers a heartbeat that fails, after a second, and the
// interval to the next one: a head that leaves has reported so by then.
const heartbeatSeries = 2200 * dragonflyduration.Millisecond

// WithHeartbeatInterval returns f with the interval at which upstreams send heartbeats, 0 if it
// is not known: then a delay of heartbeats that grows is not noticed.
func (f Fleet) WithHeartbeatInterval(d dragonflyduration.Duration) Fleet {
	f.heartbeats = d
	return f
}

// hadFreshHeartbeat reports whether a heartbeat that u sent shortly before it stopped listening
// has arrived. Heartbeats have no time of sending. The first one after a gap, or under a new
// leader, may have been held back for seconds, like others that arrive together with it. The
// latest one counts from the time at which it was expected.
func (s *step) hadFreshHeartbeat(u upstream) bool {
	expectedAt := u.heartbeatAt.Add(-u.heartbeatDelay.Delay(s.heartbeats))
	return u.heartbeatAt <= u.unreachableAt && u.unreachableAt.Sub(expectedAt) < DownAfter &&
		u.heartbeatAt.Sub(u.heartbeatsSince) >= heartbeatSeries
}

// mayHaveStreams reports whether the head of g, which has not listened since
// head.unreachableAt, may still work on streams. One that leaves does so until its streams
// have ended, which only the entries know; a stream that an entry does not end, for example
// because it stands still, ends at its time limit. A head whose heartbeats do not arrive in
// time may leave without a sign. Any other one has crashed.
func (s *step) mayHaveStreams(g group, head upstream) bool {
	passed := s.now.Sub(head.unreachableAt)
	switch {
	case !leaving(head) && s.hadFreshHeartbeat(head):
		return false
	case passed < StreamEndTime:
		return true
	case passed >= s.longestStream+StreamEndTime:
		return false
	case head.unreachableAt.Sub(s.leaderSince) < max(EntryLease+s.longestStream, ReportWindow):
		// An entry that has asked only an earlier leader may have streams.
		return true
	}
	for _, t := range s.entryTables.All() {
		if t.revision < g.droppedRevision || slices.Contains(t.dropped, g.head()) {
			return true
		}
	}
	return false
}

// withDroppedRevision returns g with the revision of the first routing table that lacks
// its head, which can no longer be reached.
func (s *step) withDroppedRevision(g group) group {
	if g.droppedRevision != 0 {
		return g
	}
	g.droppedRevision = s.revision
	for _, e := range s.endpoints {
		if e.ID == g.head() {
			g.droppedRevision = s.revision + 1 // The row is removed at the end of this step.
		}
	}
	return g
}

// longestTimeout returns the longest time limit of the routes of d.
func longestTimeout(d dragonflydocument.Document) (longest dragonflyduration.Duration) {
	for _, routes := range d.Routes().All() {
		for _, r := range routes {
			longest = max(longest, r.Timeout)
		}
	}
	return longest
}
