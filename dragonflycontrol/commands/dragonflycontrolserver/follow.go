package dragonflycontrolserver

import (
	"context"
	"math"
	"slices"
	"time"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/values/dragonflyfleetevent"
	"dragonflyrelay.example/library/values/dragonflyfollowrequest"
	"dragonflyrelay.example/library/values/dragonflyfollowresponse"
	"github.com/pkg/errors"
)

// maxFollowWait bounds how long an answer is held back.
const maxFollowWait = 2 * time.Second

// errNotLeading is the error of a call that only the leader can answer.
var errNotLeading = errors.New("this control instance does not lead")

// followCall answers a question once something is known that the asker does not
// know, or when its wait is over.
func (in *instance) followCall(ctx context.Context, req []byte) (res []byte, err error) {
	q, err := dragonflycodec.UnmarshalFollowRequest(req)
	if err != nil {
		return nil, err
	}
	for _, o := range q.Reports {
		if err := in.fleet.observe(ctx, o); err != nil {
			return nil, err
		}
	}
	if q.Role == dragonflyfollowrequest.Entry {
		_ = in.fleet.In.Put(ctx, dragonflyfleetevent.Event{Kind: dragonflyfleetevent.EntryConnected, Process: q.Process})
	}
	timer := time.NewTimer(min(time.Duration(q.Wait), maxFollowWait))
	defer timer.Stop()
	for {
		changed, viewed := in.fleet.changed.Changed(), in.appliedChanged.Changed()
		n, fresh := in.followResponse(q)
		if fresh {
			return dragonflycodec.MarshalFollowResponse(n)
		}
		if q.Role == dragonflyfollowrequest.Agent {
			viewed = nil // Orders come from the fleet alone.
		}
		select {
		case <-changed:
		case <-viewed:
		case <-timer.C:
			n, _ = in.followResponse(q)
			return dragonflycodec.MarshalFollowResponse(n)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// followResponse returns what the asker is to be told, and whether any of it is new.
func (in *instance) followResponse(q dragonflyfollowrequest.Request) (n dragonflyfollowresponse.Response, fresh bool) {
	// The age is read before the state, so that it is never understated.
	n.Age = in.confirmationAge()
	f, v, c := in.fleet.latest.Load(), in.applied.Load(), in.consensusState.Load()
	n.Control = in.addresses()
	n.Leader = in.peers.address(c.Leader())
	if !c.Leading() || !f.Leads() || n.Age > maxConfirmationAge {
		// A leader that no quorum has confirmed may not have applied all that was
		// acknowledged: it would hand out old documents.
		return n, true
	}
	n.Leads, n.Entries = true, f.Entries()
	n.Order = f.Order(q.Address)
	if q.Role == dragonflyfollowrequest.Agent {
		return n, !n.Order.Same(q.Order)
	}
	n.OutZones = v.cluster.OutZones()
	n.Version, n.Content = v.cluster.Document()
	fresh = n.Version > q.Version
	if !fresh {
		n.Content = nil
	}
	n.Complete = f.AllReported(in.clock.Now())
	n = f.WithTable(n, q.Term, q.Revision)
	return n, fresh || n.HasTable
}

// addresses returns the addresses of all control instances in order.
func (in *instance) addresses() []string {
	var all []string
	for _, name := range in.consensusState.Load().Members() {
		all = append(all, in.peers.address(name))
	}
	slices.Sort(all)
	return all
}

// observeCall takes reports that another instance forwards.
func (in *instance) observeCall(ctx context.Context, req []byte) (res []byte, err error) {
	q, err := dragonflycodec.UnmarshalFollowRequest(req)
	if err != nil {
		return nil, err
	}
	if !in.consensusState.Load().Leading() {
		return nil, errNotLeading
	}
	for _, o := range q.Reports {
		if err := in.fleet.observe(ctx, o); err != nil {
			return nil, err
		}
	}
	return nil, nil
}

// readCall returns the routing document, for an instance that does not lead.
func (in *instance) readCall(ctx context.Context, _ []byte) (res []byte, err error) {
	version, content, err := in.read(ctx)
	if err != nil {
		return nil, err
	}
	return dragonflycodec.MarshalFollowResponse(dragonflyfollowresponse.Response{Version: version, Content: content})
}

// read returns the routing document as of now: it waits until a quorum has
// acknowledged this instance as the leader after the call began.
func (in *instance) read(ctx context.Context) (version uint64, content []byte, err error) {
	began := in.clock.Now()
	for {
		viewed := in.appliedChanged.Changed()
		v := in.applied.Load()
		if !in.consensusState.Load().Leading() {
			return 0, nil, errNotLeading
		}
		if v.confirmed > began && v.confirmed < math.MaxInt64 {
			version, content = v.cluster.Document()
			return version, content, nil
		}
		select {
		case <-viewed:
		case <-ctx.Done():
			return 0, nil, ctx.Err()
		}
	}
}
