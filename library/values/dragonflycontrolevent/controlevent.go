// Package dragonflycontrolevent is what the composed core of a control instance
// reacts to.
package dragonflycontrolevent

import (
	"dragonflyrelay.example/library/values/dragonflyconsensusevent"
	"dragonflyrelay.example/library/values/dragonflydirectoryevent"
)

// kind tells which core an Event is for.
type kind uint8

// Kinds of events.
const (
	// Consensus is for the consensus core.
	Consensus kind = iota + 1
	// Directory is for the directory.
	Directory
)

// Event is one thing that happened. Only the fields of its kind are set.
type Event struct {
	// Kind tells which core the event is for.
	Kind kind
	// Consensus is the event of the consensus core.
	Consensus dragonflyconsensusevent.Event
	// Directory is the event of the directory.
	Directory dragonflydirectoryevent.Event
	// Wall is the wall-clock time in nanoseconds since 1970, for the changes that
	// the directory asks for.
	Wall int64
}
