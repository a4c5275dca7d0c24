// Package dragonflysnapshot is the replicated state at one log index.
package dragonflysnapshot

import "dragonflyrelay.example/library/values/dragonflyclusterstate"

// Snapshot is the replicated state at one log index. The zero Snapshot stands
// before the first entry.
type Snapshot struct {
	// Index and Term are those of the last entry that the state contains.
	Index, Term uint64
	// State is the content.
	State dragonflyclusterstate.State
	// Members are the instances that vote, nil if they cannot change.
	Members []string
}
