// Package dragonflyproposal converts the actions that the directory of instances
// and groups requests to changes of the replicated state.
package dragonflyproposal

import (
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflydirectoryaction"
	"dragonflyrelay.example/library/values/dragonflyzone"
)

// Operator is the operator name of changes that control proposes on its own.
const Operator = "control"

// FromAction returns the change that a requests, without id and time.
func FromAction(a dragonflydirectoryaction.Action) dragonflychange.Change {
	ch := dragonflychange.Change{Operator: Operator}
	switch a.Kind {
	case dragonflydirectoryaction.FormGroup:
		ch.Kind, ch.Model, ch.Members = dragonflychange.FormGroup, a.Model, a.Members
	case dragonflydirectoryaction.DissolveGroup:
		ch.Kind, ch.Group = dragonflychange.DissolveGroup, a.Group
	case dragonflydirectoryaction.EndZoneNotice:
		ch.Kind, ch.Base = dragonflychange.SetZone, a.Base
		ch.Zone = dragonflyzone.Zone{}.WithName(a.Zone).WithOut(true)
	}
	return ch
}
