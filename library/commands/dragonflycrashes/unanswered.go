package dragonflycrashes

import (
	"cmp"
	"slices"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflycrash"
)

const (
	// watchDelay is the time from the report of a crash after which entries are asked for
	// answers to its keys. Most requests that were lost are answered elsewhere before.
	watchDelay = 500 * dragonflyduration.Millisecond
	// maxWatched is the number of keys beyond which those of earlier crashes are not asked for.
	maxWatched = 1024
)

// Watchable returns the number of crashes whose keys entries are asked for at now.
func (s Crashes) Watchable(now dragonflyinstant.Instant) (n int) {
	for _, c := range s.all.All() {
		if s.watchable(now, c) {
			n++
		}
	}
	return n
}

func (s Crashes) watchable(now dragonflyinstant.Instant, c dragonflycrash.Crash) bool {
	return s.leads && c.Confirmed() && now.Sub(c.ReportedAt()) >= watchDelay
}

// Unanswered returns the keys that were not answered since one of their crashes, sorted, and when
// the latest crash with one of them was reported. Beyond the bound those of the latest crashes are
// returned.
func (s Crashes) Unanswered(now dragonflyinstant.Instant) (ids []string, latest dragonflyinstant.Instant) {
	var crashes []dragonflycrash.Crash
	for _, c := range s.all.All() {
		if s.watchable(now, c) {
			crashes = append(crashes, c)
		}
	}
	slices.SortStableFunc(crashes, func(a, b dragonflycrash.Crash) int { return cmp.Compare(b.At(), a.At()) })
	listed := map[string]bool{}
	for _, c := range crashes {
		if len(ids) >= maxWatched {
			break
		}
		for _, id := range c.Keys() {
			if !listed[id] && s.SpeaksAgainst(c, id) {
				listed[id] = true
				ids, latest = append(ids, id), max(latest, c.ReportedAt())
			}
		}
	}
	slices.Sort(ids)
	return ids, latest
}
