// Package dragonflycontrolevent defines the events that the composed core of a
// control instance handles.
package dragonflycontrolevent

import (
	"dragonflyrelay.example/library/values/dragonflyconsensusevent"
	"dragonflyrelay.example/library/values/dragonflydirectoryevent"
)

// kind is the core that an event is for.
type kind uint8

// Kinds of events.
const (
	// Consensus is for the consensus core.
	Consensus kind = iota + 1
	// Directory is for the directory.
	Directory
)

// Event is one input of the core of a control instance. Only the fields of its
// kind are set.
type Event struct {
	// Kind is the core that the event is for.
	Kind kind
	// Consensus is the event of the consensus core.
	Consensus dragonflyconsensusevent.Event
	// Directory is the event of the directory.
	Directory dragonflydirectoryevent.Event
	// Wall is the wall-clock time in nanoseconds since 1970, for the changes that
	// the directory proposes.
	Wall int64
}
