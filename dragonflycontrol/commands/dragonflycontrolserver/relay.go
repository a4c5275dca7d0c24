package dragonflycontrolserver

import (
	"context"
	"time"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflyring"
	"dragonflyrelay.example/library/values/dragonflyconfig"
	"dragonflyrelay.example/library/values/dragonflydirectoryevent"
	"dragonflyrelay.example/library/values/dragonflyrelay"
	"dragonflyrelay.example/library/values/dragonflyreport"
	"dragonflyrelay.example/library/values/dragonflytable"
	"dragonflyrelay.example/library/values/dragonflywatch"
	"github.com/pkg/errors"
)

const (
	// relayPeriod is the interval between relay calls while no report changes.
	relayPeriod = 500 * time.Millisecond
	// coalesceDelay is how long a changed report waits for others, since a fault
	// makes several agents report at once.
	coalesceDelay = 20 * time.Millisecond
	relayTimeout  = time.Second
	// relayRingCapacity holds the reports that all agents of a system of the target
	// size send in a second.
	relayRingCapacity = 4096
	// maxRelayReports limits the reports of one call to about 1 MiB.
	maxRelayReports = 2000
)

// relayed is the state that a follower has pulled from the leader. It includes all
// changes committed before confirmed, an instant of the local clock.
type relayed struct {
	config    dragonflyconfig.Config
	confirmed dragonflyinstant.Instant
	term      uint64
	revision  uint64
}

// relayDuty forwards reports to the leader and pulls the leader's table while
// another instance leads.
type relayDuty struct {
	in          *dragonflyring.Ring[dragonflyreport.Report]
	owner       *instance
	waiting     map[string]dragonflyreport.Report
	lastChanged map[string]dragonflyreport.Report // by instance, the latest report with a change of status
	state       relayed
}

func newRelayDuty(in *instance) *relayDuty {
	return &relayDuty{
		in:    dragonflyring.New[dragonflyreport.Report]("relay", relayRingCapacity),
		owner: in, waiting: map[string]dragonflyreport.Report{},
		lastChanged: map[string]dragonflyreport.Report{},
	}
}

// report queues a report. It drops the report if the ring is full; the agent
// reports again a second later.
func (d *relayDuty) report(r dragonflyreport.Report) { _ = d.in.TryPut(r) }

// Run relays until ctx ends.
func (d *relayDuty) Run(ctx context.Context) error {
	timer := time.NewTimer(relayPeriod)
	defer timer.Stop()
	due := time.Now().Add(relayPeriod)
	for {
		select {
		case r := <-d.in.C():
			d.waiting[r.Announcement.Instance] = r
			// A relay call that is due sooner keeps its time.
			if d.statusChanged(r) && time.Until(due) > coalesceDelay {
				due = time.Now().Add(coalesceDelay)
				timer.Reset(coalesceDelay)
			}
		case <-timer.C:
			d.relay(ctx)
			due = time.Now().Add(relayPeriod)
			timer.Reset(relayPeriod)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// statusChanged reports whether r could lead to another decision than the last
// report of its instance for which it returned true, and then records r. The
// records are cleared when there are as many as the ring holds, which bounds their
// memory.
func (d *relayDuty) statusChanged(r dragonflyreport.Report) bool {
	old, ok := d.lastChanged[r.Announcement.Instance]
	if ok && old.SameStatus(r) {
		return false
	}
	if len(d.lastChanged) >= relayRingCapacity {
		clear(d.lastChanged)
	}
	d.lastChanged[r.Announcement.Instance] = r
	return true
}

// relay sends the waiting reports to the leader and receives its table. Reports of
// a failed call are dropped; the agents report again.
func (d *relayDuty) relay(ctx context.Context) {
	leader := d.owner.consensusState.Load().Leader()
	client := d.owner.peers.client(leader)
	if client == nil || leader == d.owner.name {
		clear(d.waiting)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	sent := d.owner.clock.Now()
	raw, err := dragonflycodec.MarshalRelay(d.request())
	if err != nil {
		return
	}
	res, err := client.Call(ctx, rpcRelay, raw)
	if err != nil {
		relayFailures.Add(1)
		return
	}
	t, err := dragonflycodec.UnmarshalTable(res)
	if err != nil {
		relayFailures.Add(1)
		return
	}
	d.receiveTable(ctx, sent, t)
}

// request returns a relay request with up to maxRelayReports waiting reports, which
// it removes from the waiting ones.
func (d *relayDuty) request() dragonflyrelay.Relay {
	q := dragonflyrelay.Relay{From: d.owner.settings.Instance}
	q.Watch = dragonflywatch.Watch{
		Entry: q.From, ConfigVersion: d.owner.config().Version(), Term: d.state.term, Revision: d.state.revision,
	}
	for instance, r := range d.waiting {
		if len(q.Reports) == maxRelayReports {
			break
		}
		q.Reports = append(q.Reports, r)
		delete(d.waiting, instance)
	}
	return q
}

// receiveTable processes the leader's response to a request sent at sent. The
// leader's quorum was confirmed no earlier than the response's confirmation age
// before sent.
func (d *relayDuty) receiveTable(ctx context.Context, sent dragonflyinstant.Instant, t dragonflytable.Table) {
	events := []dragonflydirectoryevent.Event{{Kind: dragonflydirectoryevent.Pulled, Table: t}}
	if t.HasConfig && t.Config.Version() > d.state.config.Version() {
		d.state.config = t.Config
		events = append(events, dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Configured, Config: t.Config})
	}
	for _, ev := range events {
		if d.owner.directory.In.Put(ctx, ev) != nil {
			return // The next request asks for the same changes again.
		}
	}
	if t.ConfirmationAge < neverConfirmed {
		d.state.confirmed = max(d.state.confirmed, sent.Add(-t.ConfirmationAge))
	}
	d.state.term, d.state.revision = t.Term, t.Revision
	d.owner.relayed.Store(d.state)
}

// relayCall receives a follower's reports and returns the changes of the table.
func (in *instance) relayCall(_ context.Context, req []byte) (res []byte, err error) {
	q, err := dragonflycodec.UnmarshalRelay(req)
	if err != nil {
		return nil, err
	}
	if !in.consensusState.Load().Leading() {
		return nil, errors.New("this control instance does not lead")
	}
	age := in.confirmationAge()
	for _, r := range q.Reports {
		in.directory.report(r)
	}
	return dragonflycodec.MarshalTable(in.withConfig(in.directory.latest.Load().Table(q.Watch), q.Watch, age))
}
