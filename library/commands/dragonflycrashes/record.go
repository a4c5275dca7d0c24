package dragonflycrashes

import (
	"cmp"
	"slices"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyfingerprint"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflycrash"
	"dragonflyrelay.example/library/values/dragonflyloss"
	"dragonflyrelay.example/library/values/dragonflypromptpart"
)

const (
	// recordDelay is the time from the report of a crash after which its keys are recorded. Most
	// of them are answered before.
	recordDelay = 2 * dragonflyduration.Second
	// maxRecorded bounds the recorded crashes, and maxRecordedKeys the parts and the requests of
	// each.
	maxRecorded     = 64
	maxRecordedKeys = 32
)

// Record returns the crashes that are to outlast all processes, those that say most first, with
// the keys that were not answered since.
func (s Crashes) Record(now dragonflyinstant.Instant) (losses []dragonflyloss.Loss) {
	counts := s.counts()
	for _, c := range s.ranked() {
		if !c.Confirmed() || now.Sub(c.ReportedAt()) < recordDelay || len(losses) == maxRecorded {
			continue
		}
		l := dragonflyloss.Loss{ID: c.Server(), Boot: c.Boot(), Age: now.Sub(c.At()), Refused: true, Parts: s.recordedKeys(now, c, counts)}
		if len(l.Parts) > 0 {
			losses = append(losses, l)
		}
	}
	slices.SortFunc(losses, func(a, b dragonflyloss.Loss) int { return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Boot, b.Boot)) })
	return losses
}

// recordedKeys returns the keys of the crash c that it speaks against, within the bounds those that
// are in most crashes, sorted by id.
func (s Crashes) recordedKeys(now dragonflyinstant.Instant, c dragonflycrash.Crash, counts map[string]int) (keys []dragonflypromptpart.Part) {
	ids := slices.DeleteFunc(c.Keys(), func(id string) bool { return !s.SpeaksAgainst(c, id) })
	slices.SortStableFunc(ids, func(a, b string) int { return cmp.Compare(counts[b], counts[a]) })
	parts, requests := 0, 0
	for _, id := range ids {
		p, n := dragonflypromptpart.Part{ID: id}, &parts
		if dragonflyfingerprint.Is(id) {
			sentAt, _ := c.Requests().Get(id)
			p.SentAge, n = now.Sub(sentAt), &requests
		} else {
			p.Depth, _ = c.Parts().Get(id)
		}
		if *n++; *n <= maxRecordedKeys {
			keys = append(keys, p)
		}
	}
	slices.SortFunc(keys, func(a, b dragonflypromptpart.Part) int { return cmp.Compare(a.ID, b.ID) })
	return keys
}

// WithRecord returns the crashes of an instance that has applied a record of the leader. Recorded ones
// are replaced, also those that the instance has had reported itself: the leader knows more answers.
func (s Crashes) WithRecord(now dragonflyinstant.Instant, losses []dragonflyloss.Loss) Crashes {
	own := s.all
	for k, c := range s.all.All() {
		if c.Recorded() {
			s.all = s.all.Without(k)
		}
	}
	for _, l := range losses {
		k := key(l.ID, l.Boot)
		c, ok := own.Get(k)
		if !ok {
			s = s.withRoom()
			at := now.Add(-l.Age)
			c = dragonflycrash.New(l.ID, l.Boot, at, at)
		}
		c = c.WithoutKeys().WithConfirmed().WithRecorded()
		for _, p := range l.Parts {
			c = c.WithKey(now, p)
		}
		s.all = s.all.With(k, c)
	}
	s.changes++
	return s
}
