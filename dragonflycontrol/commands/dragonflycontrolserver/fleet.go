package dragonflycontrolserver

import (
	"context"
	"expvar"
	"log/slog"

	"dragonflyrelay.example/dragonflycontrol/common/dragonflyreturnestimates"
	"dragonflyrelay.example/dragonflycontrol/queries/dragonflycontrolsettings"
	"dragonflyrelay.example/library/commands/dragonflyfleet"
	"dragonflyrelay.example/library/common/dragonflybroadcast"
	"dragonflyrelay.example/library/common/dragonflycompression"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyduty"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflylatest"
	"dragonflyrelay.example/library/common/dragonflyring"
	"dragonflyrelay.example/library/values/dragonflydocument"
	"dragonflyrelay.example/library/values/dragonflyfleetevent"
	"dragonflyrelay.example/library/values/dragonflyobservation"
	"dragonflyrelay.example/library/values/dragonflyoccurrence"
	"dragonflyrelay.example/library/values/dragonflyquarantinerecord"
	"dragonflyrelay.example/library/values/dragonflywithdrawal"
)

const (
	// fleetRingCapacity holds the reports that agents and upstreams send in a second.
	fleetRingCapacity = 4096
	// fleetTick is the interval of the checks for timeouts and plans, and so the
	// most that either can be late.
	fleetTick = 100 * dragonflyduration.Millisecond
)

// fleetDuty owns the leader's state of upstreams and their groups.
type fleetDuty struct {
	dragonflyduty.Duty[dragonflyfleet.Fleet, dragonflyfleetevent.Event, dragonflyoccurrence.Occurrence]
	owner       *instance
	decode      func(content []byte) (d dragonflydocument.Document, err error)
	latest      dragonflylatest.Latest[dragonflyfleet.Fleet]
	changed     dragonflybroadcast.Broadcast             // fires when the response to an entry may have changed
	changes     uint64                                   // change count at the last broadcast
	orders      orderWatch                               // fires when the order to an engine may have changed
	estimates   dragonflyreturnestimates.ReturnEstimates // for all entries
	led         bool                                     // whether this instance led at the last publication
	withdrawals map[string]dragonflyinstant.Instant      // when the due withdrawals, by group, were last passed on to be recorded
	openingsAt  dragonflyinstant.Instant                 // when due openings were last passed on to be recorded
	recordAt    dragonflyinstant.Instant                 // when the quarantine was last compared with the recorded one
}

// fleetEvents counts the decisions of the fleet by event.
var fleetEvents = expvar.NewMap("dragonfly-control-fleet-events")

// newFleetDuty returns the duty of the instance in.
func newFleetDuty(in *instance, decode func([]byte) (dragonflydocument.Document, error), cfg dragonflycontrolsettings.Settings) *fleetDuty {
	d := &fleetDuty{owner: in, decode: decode}
	d.In = dragonflyring.New[dragonflyfleetevent.Event]("fleet", fleetRingCapacity)
	d.State = dragonflyfleet.Fleet{}.WithStall(milliseconds(cfg.GroupStallMS)).WithHeartbeatInterval(milliseconds(cfg.HeartbeatMS)).
		WithPlanByDemand(cfg.PlanByDemand).WithAdmissionByRank(cfg.AdmissionByRank)
	d.Step = dragonflyfleet.Fleet.Step
	d.Publish = d.publish
	d.Act = d.record
	d.Tick = func() dragonflyfleetevent.Event { return dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Tick} }
	d.Period = fleetTick
	d.Clock = in.clock
	return d
}

func milliseconds(ms float64) dragonflyduration.Duration {
	return dragonflyduration.Duration(ms * float64(dragonflyduration.Millisecond))
}

// publish stores the state for the call handlers and wakes those that wait for a
// change.
func (d *fleetDuty) publish(f dragonflyfleet.Fleet) {
	d.latest.Store(f)
	if f.Leads() != d.led {
		d.led = f.Leads()
		d.orders.FireAll()
	}
	d.orders.Fire(f.OrderChanges())
	d.passWithdrawals(f)
	d.passOpenings(f)
	d.passRecord(f)
	if f.ChangeCount() != d.changes {
		d.changes = f.ChangeCount()
		d.changed.Fire()
	}
}

// passWithdrawals passes the due withdrawals on to be recorded, each again after proposeTimeout.
func (d *fleetDuty) passWithdrawals(f dragonflyfleet.Fleet) {
	due := f.DueWithdrawals()
	if len(due) == 0 {
		d.withdrawals = nil
		return
	}
	now, passed := d.Clock.Now(), map[string]dragonflyinstant.Instant{}
	for _, w := range due {
		at, ok := d.withdrawals[w.Group]
		if !ok || now.Sub(at) >= dragonflyduration.Duration(proposeTimeout) {
			if d.owner.withdrawals.in.TryPut(dueWithdrawal{withdrawal: w, term: f.Term()}) != nil {
				continue // It is due again at the next event.
			}
			at = now
		}
		passed[w.Group] = at
	}
	d.withdrawals = passed
}

// passOpenings passes the due openings on to be recorded, at most once in openingsInterval.
func (d *fleetDuty) passOpenings(f dragonflyfleet.Fleet) {
	now := d.Clock.Now()
	if d.openingsAt != 0 && now.Sub(d.openingsAt) < openingsInterval {
		return
	}
	if due := f.DueOpenings(); len(due) > 0 && d.owner.openings.in.TryPut(dueOpenings{names: due, term: f.Term()}) == nil {
		d.openingsAt = now
	}
}

// passRecord passes a quarantine that differs from the recorded one on to be recorded, at most once
// in recordInterval.
func (d *fleetDuty) passRecord(f dragonflyfleet.Fleet) {
	now := d.Clock.Now()
	if d.recordAt != 0 && now.Sub(d.recordAt) < recordInterval {
		return
	}
	d.recordAt = now
	if r, isDue := f.DueRecord(now); isDue {
		_ = d.owner.records.in.TryPut(r) // It is due again after recordInterval.
	}
}

// record logs a decision and the reason for it.
func (d *fleetDuty) record(_ context.Context, o dragonflyoccurrence.Occurrence) {
	slog.Info(o.Event, "instance", o.Instance, "zone", o.Zone, "detail", o.Detail)
	d.owner.timeline.Add(o)
	fleetEvents.Add(o.Event, 1)
}

// observe queues a report about an upstream.
func (d *fleetDuty) observe(ctx context.Context, o dragonflyobservation.Observation) error {
	return d.In.Put(ctx, dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Observed, Observation: o, ArrivedAt: d.Clock.Now()})
}

// setLeading notifies the fleet whether this instance leads, and in which term.
func (d *fleetDuty) setLeading(ctx context.Context, leads bool, term uint64) {
	ev := dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Followed}
	if leads {
		ev.Kind, ev.Term = dragonflyfleetevent.Led, term
	}
	_ = d.In.Put(ctx, ev)
}

// unpack decompresses and decodes a stored document.
func (d *fleetDuty) unpack(packed []byte) (doc dragonflydocument.Document, err error) {
	content, err := dragonflycompression.Decompress(packed)
	if err != nil {
		return doc, err
	}
	return d.decode(content)
}

// receiveDocument passes the routing document and the zones that are out of
// service to the fleet. If this version of the program cannot decode the
// document, the fleet keeps the last one that could be decoded.
func (d *fleetDuty) receiveDocument(ctx context.Context, version uint64, content []byte, outZones []string) {
	doc := d.latest.Load().Document()
	if d.decode != nil && version > doc.Version() {
		next, err := d.unpack(content)
		if err != nil {
			slog.Error("document in force cannot be read", "version", version, "error", err)
		} else {
			doc = next
		}
	}
	_ = d.In.Put(ctx, dragonflyfleetevent.Event{Kind: dragonflyfleetevent.DocumentReceived, Document: doc, OutZones: outZones})
}

// receiveWithdrawals passes the recorded withdrawals, openings and quarantine to the fleet. The log is
// applied up to an entry of the term.
func (d *fleetDuty) receiveWithdrawals(ctx context.Context, withdrawals []dragonflywithdrawal.Withdrawal, opened []string, r dragonflyquarantinerecord.Record, term uint64) {
	_ = d.In.Put(ctx, dragonflyfleetevent.Event{
		Kind: dragonflyfleetevent.WithdrawalsReceived, Withdrawals: withdrawals, Opened: opened, Record: r, Term: term,
	})
}
