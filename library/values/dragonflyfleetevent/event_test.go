package dragonflyfleetevent_test

import (
	"testing"

	"dragonflyrelay.example/library/values/dragonflycontact"
	"dragonflyrelay.example/library/values/dragonflyendpointlimit"
	"dragonflyrelay.example/library/values/dragonflyfleetevent"
	"dragonflyrelay.example/library/values/dragonflyfollowrequest"
	"dragonflyrelay.example/library/values/dragonflyleavingupstream"
	"dragonflyrelay.example/library/values/dragonflyloss"
	"dragonflyrelay.example/library/values/dragonflymodeldemand"
	"dragonflyrelay.example/library/values/dragonflypromptpart"
	"dragonflyrelay.example/library/values/dragonflyquarantinedpart"
	"dragonflyrelay.example/library/values/dragonflyupstreampause"
	. "github.com/smartystreets/goconvey/convey"
)

// TestOf guards against a report of an entry that does not reach the fleet.
func TestOf(t *testing.T) {
	Convey("All reports of an entry are in the event", t, func() {
		q := dragonflyfollowrequest.Request{
			Process: "e1", Term: 3, Revision: 4, Dropped: []string{"a"},
			Losses: make([]dragonflyloss.Loss, 1), Parts: make([]dragonflypromptpart.Part, 2),
			Quarantine: make([]dragonflyquarantinedpart.Part, 3), Contacts: make([]dragonflycontact.Contact, 4),
			Limits: make([]dragonflyendpointlimit.Limit, 5), Leaving: make([]dragonflyleavingupstream.Upstream, 6),
			Pauses: make([]dragonflyupstreampause.Pause, 7), Demands: []dragonflymodeldemand.Demand{{Model: "small", Work: 1}},
		}
		So(dragonflyfleetevent.Of(q), ShouldResemble, dragonflyfleetevent.Event{
			Kind: dragonflyfleetevent.EntryConnected, Process: "e1", EntryTerm: 3, Revision: 4, Dropped: q.Dropped,
			Losses: q.Losses, Parts: q.Parts, Quarantine: q.Quarantine, Contacts: q.Contacts,
			Limits: q.Limits, Leaving: q.Leaving, Pauses: q.Pauses, Demands: q.Demands,
		})
	})
}
