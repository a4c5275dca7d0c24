// Package dragonflylogentry defines an entry of the replicated log.
package dragonflylogentry

import (
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflymemberset"
)

// Entry is one entry of the replicated log. An entry whose change has kind 0
// begins a leader's term and changes nothing.
type Entry struct {
	// Index is the entry's position; the first entry has index 1.
	Index uint64
	// Term is the consensus term of the leader that appended the entry.
	Term uint64
	// Change is the command to the replicated state machine.
	Change dragonflychange.Change
	// Members, if not empty, are the voting instances from this entry on.
	Members dragonflymemberset.MemberSet
}
