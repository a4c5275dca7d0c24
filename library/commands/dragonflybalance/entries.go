package dragonflybalance

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflybalanceevent"
)

// mostEntriesTime is how long the largest number of entries counts. Control no longer
// counts entries that it has not heard of for a few seconds, but those that are only cut
// off from it go on to use their part of a limit, by the number that they know.
const mostEntriesTime = dragonflyduration.Minute

// entryCount is the number of entries by which limits are divided. The zero value is one
// entry.
type entryCount struct {
	reported  int // by control
	most      int // largest number that was reported up to mostUntil minus mostEntriesTime
	mostUntil dragonflyinstant.Instant
}

// withReported returns the count after control has reported a number. That of a new leader,
// which is incomplete, is taken only if it is larger: a leader knows few entries at first,
// and limits must not rise for that.
func (c entryCount) withReported(now dragonflyinstant.Instant, ev dragonflybalanceevent.Event) entryCount {
	if !ev.Complete && ev.Entries <= c.reported {
		return c
	}
	if c.reported = ev.Entries; c.reported >= c.most || !now.Before(c.mostUntil) {
		c.most, c.mostUntil = c.reported, now.Add(mostEntriesTime)
	}
	return c
}

// divisor returns the number by which a limit is divided. It is at least half of the
// largest one: whatever part of the entries is cut off, all of them together then use no
// more than half as much again as the limit. With the largest one itself, the parts of
// entries that are gone would be unused for mostEntriesTime.
func (c entryCount) divisor() float64 { return float64(max(c.reported, (c.most+1)/2, 1)) }
