package dragonflycrashes

import (
	"cmp"
	"slices"

	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflycrash"
)

// compacted returns the crashes without what no longer speaks against a key. A recent crash
// keeps the keys that were answered since, and the other crashes lose them. Dropped reports
// whether a loss was dropped before.
func (s Crashes) compacted(now dragonflyinstant.Instant, dropped bool) Crashes {
	if s.compact == s.changes && (s.nextOld == 0 || now.Before(s.nextOld)) {
		return s
	}
	s.nextOld = 0
	for k, c := range s.all.All() {
		old := c.At().Add(RecentTime)
		if !now.After(old) {
			if s.nextOld == 0 || old.Before(s.nextOld) {
				s.nextOld = old.Add(1)
			}
			continue
		}
		kept := c
		if !s.leads && !c.Recorded() {
			kept = c.WithoutKeys()
		}
		for _, id := range kept.Keys() {
			if !s.SpeaksAgainst(c, id) {
				kept = kept.WithoutKey(id)
			}
		}
		switch {
		case kept.Len() == 0:
			s.all, dropped = s.all.Without(k), true
		case kept.Len() < c.Len():
			s.all, dropped = s.all.With(k, kept), true
		}
	}
	if dropped {
		s.changes++
		s = s.withoutUnusedAnswers()
	}
	s = s.withinKeys()
	s.compact = s.changes
	return s
}

// withoutUnusedAnswers drops the answers to keys that are in no crash.
func (s Crashes) withoutUnusedAnswers() Crashes {
	used := map[string]bool{}
	for _, c := range s.all.All() {
		for _, id := range c.Keys() {
			used[id] = true
		}
	}
	for id := range s.servedAt.All() {
		if !used[id] {
			s.servedAt = s.servedAt.Without(id)
		}
	}
	return s
}

// WithoutCrashesOf returns the crashes without those that the key id explains. They would accuse the
// keys that waited at the same servers.
func (s Crashes) WithoutCrashesOf(id string) Crashes {
	for k, c := range s.all.All() {
		if s.SpeaksAgainst(c, id) {
			s.all = s.all.Without(k)
			s.changes++
		}
	}
	return s
}

// withRoom returns the crashes without the weakest one if there is no room for another.
func (s Crashes) withRoom() Crashes {
	if s.all.Len() < maxCrashes {
		return s
	}
	weakest := s.ranked()[s.all.Len()-1]
	s.all = s.all.Without(key(weakest.Server(), weakest.Boot()))
	return s
}

// withinKeys returns the crashes without the weakest ones beyond the bound on keys.
func (s Crashes) withinKeys() Crashes {
	total := 0
	for _, c := range s.all.All() {
		total += c.Len()
	}
	if total <= maxKeys {
		return s
	}
	ranked := s.ranked()
	for total > maxKeys && len(ranked) > 0 {
		weakest := ranked[len(ranked)-1]
		ranked = ranked[:len(ranked)-1]
		s.all = s.all.Without(key(weakest.Server(), weakest.Boot()))
		s.changes++
		total -= weakest.Len()
	}
	return s
}

// ranked returns the crashes in the order of what they say: those with a key that is in most
// crashes without an answer first, and the latest of equal ones. Many crashes of other causes
// do not displace the two of a key that comes seldom.
func (s Crashes) ranked() []dragonflycrash.Crash {
	counts := s.counts()
	type item struct {
		crash dragonflycrash.Crash
		most  int
	}
	var all []item
	for _, c := range s.all.All() {
		most := 0
		for _, id := range c.Keys() {
			most = max(most, counts[id])
		}
		all = append(all, item{crash: c, most: most})
	}
	slices.SortStableFunc(all, func(a, b item) int {
		return cmp.Or(cmp.Compare(b.most, a.most), cmp.Compare(b.crash.At(), a.crash.At()))
	})
	crashes := make([]dragonflycrash.Crash, len(all))
	for i, it := range all {
		crashes[i] = it.crash
	}
	return crashes
}

// counts returns for each key the number of crashes that speak against it.
func (s Crashes) counts() map[string]int {
	counts := map[string]int{}
	for _, c := range s.all.All() {
		for _, id := range c.Keys() {
			if s.SpeaksAgainst(c, id) {
				counts[id]++
			}
		}
	}
	return counts
}
