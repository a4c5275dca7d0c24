// Package dragonflysnapshot defines a snapshot of the replicated state.
package dragonflysnapshot

import (
	"dragonflyrelay.example/library/values/dragonflyclusterstate"
	"dragonflyrelay.example/library/values/dragonflymemberset"
)

// Snapshot is the replicated state at one log index. The zero Snapshot
// precedes the first entry.
type Snapshot struct {
	// Index and Term are those of the last entry that the state contains.
	Index, Term uint64
	// State is the replicated state.
	State dragonflyclusterstate.State
	// Members are the voting instances, empty if they cannot change.
	Members dragonflymemberset.MemberSet
}
