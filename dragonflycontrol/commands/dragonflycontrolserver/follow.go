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
	"dragonflyrelay.example/library/values/dragonflymodelreturn"
	"github.com/pkg/errors"
)

// maxFollowWait bounds how long a Follow call waits for a change.
const maxFollowWait = 2 * time.Second

// errNotLeading is returned for calls that only the leader can serve.
var errNotLeading = errors.New("this control instance does not lead")

// followCall is a long poll: it responds once the state differs from what the
// caller has, or when the caller's wait time has passed.
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
		ev := dragonflyfleetevent.Of(q)
		ev.ArrivedAt = in.clock.Now()
		_ = in.fleet.In.Put(ctx, ev)
	}
	timer := time.NewTimer(min(time.Duration(q.Wait), maxFollowWait))
	defer timer.Stop()
	for {
		changed, appliedChanged := in.watch(q)
		resp, isNew := in.followResponse(q)
		if isNew {
			return dragonflycodec.MarshalFollowResponse(resp)
		}
		select {
		case <-changed:
		case <-appliedChanged:
		case <-timer.C:
			resp, _ = in.followResponse(q)
			return dragonflycodec.MarshalFollowResponse(resp)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// watch returns the channels that are closed when the response to q may have changed.
// Agents only receive orders, which the fleet decides.
func (in *instance) watch(q dragonflyfollowrequest.Request) (changed, appliedChanged <-chan struct{}) {
	if q.Role == dragonflyfollowrequest.Agent {
		return in.fleet.orders.Changed(q.Address), nil
	}
	return in.fleet.changed.Changed(), in.appliedChanged.Changed()
}

// followResponse returns the response to q, and whether any of it is new to the
// caller.
func (in *instance) followResponse(q dragonflyfollowrequest.Request) (resp dragonflyfollowresponse.Response, isNew bool) {
	// The age is read before the state, so that it never understates the age of
	// the state.
	resp.Age = in.confirmationAge()
	f, v, c := in.fleet.latest.Load(), in.applied.Load(), in.consensusState.Load()
	resp.Control = in.addresses()
	resp.Leader = in.peers.address(c.Leader())
	if !c.Leading() || !f.Leads() || resp.Age > maxConfirmationAge {
		// A leader without a recent confirmation by a quorum may not have applied
		// all acknowledged changes, and would return old documents.
		resp.Quarantine = f.Quarantined(in.clock.Now())
		resp.HasQuarantine = len(resp.Quarantine) > 0
		return resp, true
	}
	resp.Leads, resp.Term, resp.Entries = true, c.Term(), f.Entries()
	resp.Order = f.Order(q.Address)
	if q.Role == dragonflyfollowrequest.Agent {
		return resp, !resp.Order.Same(q.Order)
	}
	resp.OutZones = v.cluster.OutZones()
	resp.Version, resp.Content = v.cluster.Document()
	isNew = resp.Version > q.Version
	if !isNew {
		resp.Content = nil
	}
	resp.Complete = f.AllReported(in.clock.Now())
	now := in.clock.Now()
	resp.Returns = in.fleet.estimates.From(now, f.ChangeCount(), func() []dragonflymodelreturn.Return { return f.Returns(now) })
	resp = f.WithTable(resp, q.Term, q.Revision)
	resp = f.WithQuarantine(in.clock.Now(), resp, q.Process, q.Term, q.QuarantineRevision)
	resp = f.WithLimits(in.clock.Now(), resp, q.Term, q.LimitsRevision)
	resp.Admissions = f.Admissions()
	return resp, isNew || resp.HasTable || resp.HasQuarantine || resp.HasLimits
}

// addresses returns the addresses of all control instances, sorted.
func (in *instance) addresses() []string {
	var all []string
	for _, name := range in.consensusState.Load().Members() {
		all = append(all, in.peers.address(name))
	}
	slices.Sort(all)
	return all
}

// observeCall receives reports that another control instance forwards.
func (in *instance) observeCall(ctx context.Context, req []byte) (res []byte, err error) {
	q, err := dragonflycodec.UnmarshalFollowRequest(req)
	if err != nil {
		return nil, err
	}
	if !in.consensusState.Load().Leading() {
		return nil, errNotLeading
	}
	for _, o := range q.Reports {
		if err := in.observeHere(ctx, o); err != nil {
			return nil, err
		}
	}
	return nil, nil
}

// readCall returns the routing document to a control instance that does not lead.
func (in *instance) readCall(ctx context.Context, _ []byte) (res []byte, err error) {
	version, content, err := in.read(ctx)
	if err != nil {
		return nil, err
	}
	return dragonflycodec.MarshalFollowResponse(dragonflyfollowresponse.Response{Version: version, Content: content})
}

// read is a linearizable read of the routing document: it waits until a quorum
// has acknowledged this instance as the leader after the call began.
func (in *instance) read(ctx context.Context) (version uint64, content []byte, err error) {
	began := in.clock.Now()
	for {
		appliedChanged := in.appliedChanged.Changed()
		v := in.applied.Load()
		if !in.consensusState.Load().Leading() {
			return 0, nil, errNotLeading
		}
		if v.confirmed > began && v.confirmed < math.MaxInt64 {
			version, content = v.cluster.Document()
			return version, content, nil
		}
		select {
		case <-appliedChanged:
		case <-ctx.Done():
			return 0, nil, ctx.Err()
		}
	}
}
