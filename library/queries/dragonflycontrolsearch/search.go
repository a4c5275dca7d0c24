// Package dragonflycontrolsearch decides which control instance a process asks next while it
// knows no leader, and for how long. The load that it addresses is a search in which some of
// the instances are gone or stand still: what they are waited for delays the documents and
// the routing table of the leader that is there.
package dragonflycontrolsearch

import (
	"slices"

	"dragonflyrelay.example/library/common/dragonflyduration"
)

const (
	// FirstTimeout bounds the first call to each instance. One that is alive responds within
	// a few milliseconds, also from another zone.
	FirstTimeout = 250 * dragonflyduration.Millisecond
	// LaterTimeout bounds the calls after that. An instance that lacks processor time
	// responds late and may be the leader.
	LaterTimeout = 700 * dragonflyduration.Millisecond
)

// Search is the state of a search. The zero Search has asked no instance.
type Search struct {
	next, asked int
}

// Next returns the search after the next call, and the address and the time limit of that
// call. Addresses that are both known and seeds count once. There must be one address or
// more. A call to hint, an instance that another one has named as the leader, goes first
// unless hint is empty.
func (s Search) Next(known, seeds []string, hint string) (next Search, addr string, limit dragonflyduration.Duration) {
	all := distinct(known, seeds)
	limit = FirstTimeout
	if s.asked >= len(all) {
		limit = LaterTimeout
	}
	if hint != "" {
		return s, hint, limit
	}
	s.next++
	s.asked++
	return s, all[s.next%len(all)], limit
}

// WithLeader returns the search after an instance has responded as the leader.
func (s Search) WithLeader() Search {
	s.asked = 0
	return s
}

// Asked returns the number of calls since a leader has responded, without those to hints.
func (s Search) Asked() int { return s.asked }

func distinct(known, seeds []string) (all []string) {
	for _, addr := range slices.Concat(known, seeds) {
		if !slices.Contains(all, addr) {
			all = append(all, addr)
		}
	}
	return all
}
