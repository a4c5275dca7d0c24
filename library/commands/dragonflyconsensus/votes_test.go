package dragonflyconsensus_test

import (
	"dragonflyrelay.example/library/values/dragonflylogentry"
	"dragonflyrelay.example/library/values/dragonflymemberset"
)

// vote is a vote for a candidate in a term.
type vote struct {
	term      uint64
	candidate string
}

// syncedByMajority reports whether a majority of the members has synced the entry, during a
// change of them one before it and one after it. The disk of an instance that was removed
// counts too: it acknowledged what it held.
func (s *simulation) syncedByMajority(e dragonflylogentry.Entry, members dragonflymemberset.MemberSet) bool {
	for _, names := range [][]string{members.Names(), members.Outgoing()} {
		count := 0
		for _, name := range names {
			n := s.nodes[name]
			if n.snapshot.Index >= e.Index || n.durable[e.Index] == e.Term {
				count++
			}
		}
		if len(names) > 0 && count <= len(names)/2 {
			return false
		}
	}
	return true
}
