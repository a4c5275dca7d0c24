package dragonflycontrolserver

import (
	"context"
	"fmt"

	"dragonflyrelay.example/library/commands/dragonflycluster"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflyring"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyconsensusaction"
	"dragonflyrelay.example/library/values/dragonflyconsensusevent"
	"dragonflyrelay.example/library/values/dragonflydirectoryevent"
	"dragonflyrelay.example/library/values/dragonflyoccurrence"
	"dragonflyrelay.example/library/values/dragonflyresult"
	"dragonflyrelay.example/library/values/dragonflysnapshot"
)

// applied is the state of the replicated state machine. It includes all changes
// that were committed before confirmed, an instant of the local clock; confirmed
// is 0 if no such instant is known.
type applied struct {
	cluster   dragonflycluster.Cluster
	index     uint64
	term      uint64 // of the entry at index, 0 if it is not known
	confirmed dragonflyinstant.Instant
}

// applyDuty owns the replicated state machine.
type applyDuty struct {
	in             *dragonflyring.Ring[dragonflyconsensusaction.Action]
	owner          *instance
	state          applied
	snapshot       uint64 // index of the latest snapshot
	published      uint64 // configuration version last sent to the directory
	fleetOutdated  bool   // operator changes were applied but not yet sent to the fleet
	withdrawalsDue bool   // the same for withdrawals and openings, or the first entry of a term
}

func newApplyDuty(in *instance, c dragonflycluster.Cluster, index uint64) *applyDuty {
	d := &applyDuty{
		in:    dragonflyring.New[dragonflyconsensusaction.Action]("apply", applyRingCapacity),
		owner: in, state: applied{cluster: c, index: index}, snapshot: index,
	}
	d.publish()
	return d
}

// Run applies committed entries until ctx ends.
func (d *applyDuty) Run(ctx context.Context) error {
	d.publishGroups(ctx)
	d.publishConfig(ctx)
	d.publishDocument(ctx)
	d.publishWithdrawals(ctx)
	for {
		a, err := d.in.Take(ctx)
		if err != nil {
			return err
		}
		switch a.Kind {
		case dragonflyconsensusaction.Apply:
			d.apply(ctx, a)
		case dragonflyconsensusaction.Restore:
			d.state.cluster = dragonflycluster.FromState(a.Snapshot.State)
			d.state.index, d.snapshot, d.state.term = a.Snapshot.Index, a.Snapshot.Index, a.Snapshot.Term
			d.publish()
			d.publishGroups(ctx)
			d.publishConfig(ctx)
			d.publishDocument(ctx)
			d.publishWithdrawals(ctx)
		case dragonflyconsensusaction.Confirm:
			d.state.confirmed = a.At
			d.publish()
		}
		if d.fleetOutdated && d.in.Len() == 0 {
			// The document is decoded only when no more entries are queued. A
			// restarted instance would otherwise decode every document in its log.
			d.fleetOutdated = false
			d.publishDocument(ctx)
		}
		if d.withdrawalsDue {
			d.withdrawalsDue = false
			d.publishWithdrawals(ctx)
		}
	}
}

// publish makes the applied state visible to other goroutines and wakes those
// that wait for a change of it.
func (d *applyDuty) publish() {
	d.owner.applied.Store(d.state)
	d.owner.appliedChanged.Fire()
}

// publishDocument sends the routing document and the zones that are out of
// service to the fleet.
func (d *applyDuty) publishDocument(ctx context.Context) {
	version, content := d.state.cluster.Document()
	d.owner.fleet.receiveDocument(ctx, version, content, d.state.cluster.OutZones())
}

// publishWithdrawals sends the recorded withdrawals, openings and quarantine to the fleet.
func (d *applyDuty) publishWithdrawals(ctx context.Context) {
	c := d.state.cluster
	d.owner.fleet.receiveWithdrawals(ctx, c.Withdrawals(), c.Opened(), c.Quarantine(), d.state.term)
}

// apply applies a committed entry, answers its proposer and notifies the duties
// that depend on the change.
func (d *applyDuty) apply(ctx context.Context, a dragonflyconsensusaction.Action) {
	next, r := d.state.cluster.Apply(a.Entry.Change)
	d.state.cluster, d.state.index, d.state.term = next, a.Entry.Index, a.Entry.Term
	d.publish()
	d.owner.replies.answer(ctx, a.Request, r, "")
	if a.Entry.Change.Kind != 0 {
		d.record(a.Entry.Change, r)
	}
	k := a.Entry.Change.Kind
	if k == dragonflychange.FormGroup || k == dragonflychange.DissolveGroup {
		d.publishGroups(ctx)
	}
	d.withdrawalsDue = k == 0 || k >= dragonflychange.WithdrawMembers
	d.fleetOutdated = d.fleetOutdated || k >= dragonflychange.StoreDocument && k < dragonflychange.WithdrawMembers
	if d.state.cluster.Config().Version() > d.published {
		d.publishConfig(ctx)
	}
	d.compact()
}

// publishGroups sends the current groups to the directory.
func (d *applyDuty) publishGroups(ctx context.Context) {
	_ = d.owner.directory.In.Put(ctx, dragonflydirectoryevent.Event{
		Kind: dragonflydirectoryevent.Groups, Groups: d.state.cluster.Groups(),
		Index: d.state.index, Fence: d.state.cluster.LastFence(),
	})
}

// publishConfig sends the current configuration to the directory.
func (d *applyDuty) publishConfig(ctx context.Context) {
	d.published = d.state.cluster.Config().Version()
	_ = d.owner.directory.In.Put(ctx, dragonflydirectoryevent.Event{
		Kind: dragonflydirectoryevent.Configured, Config: d.state.cluster.Config(),
	})
}

// compact passes a snapshot to the consensus core once the log has grown by the
// configured number of entries and by a quarter of the number of items in the
// state. The second condition keeps the cost of snapshots proportional to the
// number of changes, even with 100,000 claims in the state.
func (d *applyDuty) compact() {
	limit := d.owner.settings.SnapshotEntries
	if limit == 0 {
		limit = defaultSnapshotEntries
	}
	if d.state.index-d.snapshot < uint64(max(limit, d.state.cluster.Size()/4)) {
		return
	}
	err := d.owner.consensus.In.TryPut(dragonflyconsensusevent.Event{
		Kind:     dragonflyconsensusevent.Compact,
		Snapshot: dragonflysnapshot.Snapshot{Index: d.state.index, State: d.state.cluster.State()},
	})
	if err == nil {
		d.snapshot = d.state.index
	}
}

// record counts a result and adds it to the timeline.
func (d *applyDuty) record(ch dragonflychange.Change, r dragonflyresult.Result) {
	results.Add(outcomeName(r), 1)
	if ch.Kind >= dragonflychange.Claim && ch.Kind <= dragonflychange.Complete {
		return // One event for each request with an idempotency key would flood the timeline.
	}
	o := dragonflyoccurrence.Occurrence{Change: ch.ID, Group: r.Group, Zone: ch.Zone.Name()}
	o.Event = "change-" + outcomeName(r)
	switch {
	case ch.Kind == dragonflychange.FormGroup && r.Outcome == dragonflyresult.Accepted:
		o.Event, o.Instance = "group-formed", ch.Members[0].Instance
		o.Detail = fmt.Sprintf("fence %d, %d members, model %s", r.Fence, len(ch.Members), ch.Model)
	case ch.Kind == dragonflychange.WithdrawMembers:
		o.Event = "withdrawal-" + outcomeName(r)
		o.Detail = fmt.Sprintf("group %s, engines %v", ch.Withdrawal.Group, ch.Withdrawal.Engines)
	case ch.Kind == dragonflychange.RecordOpenings:
		o.Event = "openings-" + outcomeName(r)
		o.Detail = fmt.Sprintf("groups %v", ch.Opened)
	case ch.Kind == dragonflychange.RecordQuarantine:
		o.Event = "quarantine-record-" + outcomeName(r)
		o.Detail = fmt.Sprintf("%d keys, %d crashes", len(ch.Quarantine.Parts), len(ch.Quarantine.Losses))
	case ch.Kind == dragonflychange.DissolveGroup && r.Outcome == dragonflyresult.Accepted:
		o.Event = "group-dissolved"
	default:
		o.Detail = fmt.Sprintf("version %d by %s; %s", r.Version, ch.Operator, r.Message)
	}
	d.owner.timeline.Add(o)
}

// outcomeName returns the name of the outcome of r in metrics and events.
func outcomeName(r dragonflyresult.Result) string {
	switch r.Outcome {
	case dragonflyresult.Accepted:
		return "accepted"
	case dragonflyresult.Conflict:
		return "conflict"
	case dragonflyresult.Invalid:
		return "invalid"
	case dragonflyresult.NotRun:
		return "not-run"
	case dragonflyresult.Unavailable:
		return "unavailable"
	case dragonflyresult.ClaimGranted:
		return "claim-granted"
	case dragonflyresult.ClaimInProgress:
		return "claim-in-progress"
	case dragonflyresult.ClaimStored:
		return "claim-stored"
	case dragonflyresult.ClaimUnknown:
		return "claim-unknown"
	case dragonflyresult.ClaimMismatch:
		return "claim-mismatch"
	}
	return "none"
}
