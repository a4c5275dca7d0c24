package dragonflycontrolserver

import (
	"context"
	"fmt"
	"time"

	"dragonflyrelay.example/library/commands/dragonflydirectory"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyduty"
	"dragonflyrelay.example/library/common/dragonflylatest"
	"dragonflyrelay.example/library/common/dragonflyring"
	"dragonflyrelay.example/library/queries/dragonflyproposal"
	"dragonflyrelay.example/library/values/dragonflyconsensusevent"
	"dragonflyrelay.example/library/values/dragonflydirectoryaction"
	"dragonflyrelay.example/library/values/dragonflydirectoryevent"
	"dragonflyrelay.example/library/values/dragonflyoccurrence"
	"dragonflyrelay.example/library/values/dragonflyreport"
)

const (
	// directoryRingCapacity holds the reports that all agents of a system of the
	// target size send in a second.
	directoryRingCapacity = 4096
	// directoryTick is shorter than the directory's planning interval, so that a
	// plan is late by at most this much.
	directoryTick = 50 * dragonflyduration.Millisecond
)

// directoryDuty owns the observed state of instances and groups. It never blocks
// on another duty.
type directoryDuty struct {
	dragonflyduty.Duty[dragonflydirectory.Directory, dragonflydirectoryevent.Event, dragonflydirectoryaction.Action]
	owner     *instance
	latest    dragonflylatest.Latest[dragonflydirectory.Directory]
	started   int64  // start time in Unix nanoseconds; keeps proposal IDs unique across restarts
	proposals uint64 // number of proposals so far
}

func newDirectoryDuty(in *instance) *directoryDuty {
	d := &directoryDuty{owner: in, started: time.Now().UnixNano()}
	d.In = dragonflyring.New[dragonflydirectoryevent.Event]("directory", directoryRingCapacity)
	d.Step = dragonflydirectory.Directory.Step
	d.Publish = d.latest.Store
	d.Act = d.propose
	d.Tick = func() dragonflydirectoryevent.Event {
		return dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Tick}
	}
	d.Period = directoryTick
	d.Clock = in.clock
	return d
}

// report queues an agent's report. It drops the report if the ring is full; the
// agent reports again a second later.
func (d *directoryDuty) report(r dragonflyreport.Report) {
	_ = d.In.TryPut(dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Reported, Report: r})
}

// setLeading notifies the directory whether this instance leads, and in which term.
func (d *directoryDuty) setLeading(ctx context.Context, leads bool, term uint64) {
	ev := dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Followed}
	if leads {
		ev.Kind, ev.Term = dragonflydirectoryevent.Led, term
	}
	_ = d.In.Put(ctx, ev)
}

// propose proposes the change that the directory requests. If the proposal is
// lost, a later plan requests the change again.
func (d *directoryDuty) propose(_ context.Context, a dragonflydirectoryaction.Action) {
	d.proposals++
	ch := dragonflyproposal.FromAction(a)
	ch.ID = fmt.Sprintf("%s-%x-%d", d.owner.settings.Instance, d.started, d.proposals)
	ch.At = time.Now().UnixNano()
	d.owner.timeline.Add(dragonflyoccurrence.Occurrence{
		Event: "plan-proposed", Change: ch.ID, Group: a.Group, Zone: a.Zone, Detail: a.Reason,
	})
	_ = d.owner.consensus.In.TryPut(dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Propose, Change: ch})
}
