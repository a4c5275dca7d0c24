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
	relayPeriod = 500 * time.Millisecond
	// coalesceDelay is how long news waits for more of it, since a fault makes several
	// agents report at once.
	coalesceDelay = 20 * time.Millisecond
	relayTimeout  = time.Second
	// relayRingCapacity takes a second's reports of all agents of the target size.
	relayRingCapacity = 4096
	// maxRelayReports bounds the reports of one call to about 1 MiB.
	maxRelayReports = 2000
)

// relayed is what a follower knows from the leader. It includes all changes
// committed before confirmed, an instant of the own clock.
type relayed struct {
	config    dragonflyconfig.Config
	confirmed dragonflyinstant.Instant
	term      uint64
	revision  uint64
}

// relayDuty passes reports to the leader and pulls the leader's table while
// another instance leads.
type relayDuty struct {
	in        *dragonflyring.Ring[dragonflyreport.Report]
	owner     *instance
	waiting   map[string]dragonflyreport.Report
	published map[string]dragonflyreport.Report // latest relayed of each instance
	state     relayed
}

func newRelayDuty(in *instance) *relayDuty {
	return &relayDuty{
		in:    dragonflyring.New[dragonflyreport.Report]("relay", relayRingCapacity),
		owner: in, waiting: map[string]dragonflyreport.Report{},
		published: map[string]dragonflyreport.Report{},
	}
}

// report queues a report. If the ring is full it is dropped; the agent reports
// again a second later.
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
			// A pending relay that is due sooner is left alone.
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

// statusChanged reports whether control would decide otherwise on r than on the latest
// relayed report of its instance. What is remembered is bounded by the instances
// that report here, and forgotten if there are more than the ring takes.
func (d *relayDuty) statusChanged(r dragonflyreport.Report) bool {
	old, ok := d.published[r.Announcement.Instance]
	if ok && old.SameStatus(r) {
		return false
	}
	if len(d.published) >= relayRingCapacity {
		clear(d.published)
	}
	d.published[r.Announcement.Instance] = r
	return true
}

// relay makes one call to the leader. Reports of a failed call are dropped; the
// agents report again.
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

// receiveTable takes the leader's answer to a question sent at sent. The quorum was
// known no longer before that than the age says.
func (d *relayDuty) receiveTable(ctx context.Context, sent dragonflyinstant.Instant, t dragonflytable.Table) {
	events := []dragonflydirectoryevent.Event{{Kind: dragonflydirectoryevent.Pulled, Table: t}}
	if t.HasConfig && t.Config.Version() > d.state.config.Version() {
		d.state.config = t.Config
		events = append(events, dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Configured, Config: t.Config})
	}
	for _, ev := range events {
		if d.owner.directory.In.Put(ctx, ev) != nil {
			return // The same question is asked again.
		}
	}
	if t.ConfirmationAge < neverConfirmed {
		d.state.confirmed = max(d.state.confirmed, sent.Add(-t.ConfirmationAge))
	}
	d.state.term, d.state.revision = t.Term, t.Revision
	d.owner.relayed.Store(d.state)
}

// relayCall takes a follower's reports and answers with the changes of the table.
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
