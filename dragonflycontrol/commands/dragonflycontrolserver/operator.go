package dragonflycontrolserver

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"time"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/common/dragonflycompression"
	"dragonflyrelay.example/library/common/dragonflyoperations"
	"dragonflyrelay.example/library/queries/dragonflydocumentcheck"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyfollowrequest"
	"dragonflyrelay.example/library/values/dragonflyobservation"
	"dragonflyrelay.example/library/values/dragonflyresult"
	"github.com/pkg/errors"
)

// operationTimeout bounds a call of an operator or an upstream. It is below the
// second after which they try another instance.
const operationTimeout = 900 * time.Millisecond

// departureDelay is how long a call that must not be carried out late waits before it
// takes effect. A caller that gave up while this process stood still or while the link was
// cut has closed its connection: the end of the connection has arrived already, or follows
// the call within a round trip.
const departureDelay = 50 * time.Millisecond

// startOperator starts the listener for operators and upstreams if it is
// configured.
func (s *Server) startOperator(ctx context.Context, cancel context.CancelCauseFunc, in *instance) (err error) {
	if s.Operator == nil || s.Settings.OperatorListen == "" {
		return nil
	}
	listen := s.Listen
	if listen == nil {
		listen = net.Listen
	}
	l, err := listen("tcp", s.Settings.OperatorListen)
	if err != nil {
		return err
	}
	return in.pool.Start(ctx, "operator", essential(cancel, "operator", func(ctx context.Context) error {
		return s.Operator(ctx, l, in.operations())
	}))
}

// operations returns the handlers of the operator calls.
func (in *instance) operations() dragonflyoperations.Operations {
	return dragonflyoperations.Operations{
		Observe: in.observe, StoreDocument: in.storeDocument, Document: in.document, SetZone: in.setZone,
	}
}

// observe passes a report to the leader's fleet duty.
func (in *instance) observe(ctx context.Context, o dragonflyobservation.Observation) (err error) {
	defer func() { err = wrapUnavailable(err) }()
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	c := in.consensusState.Load()
	if c.Leading() {
		return in.observeHere(ctx, o)
	}
	if err := awaitLastReport(ctx, o); err != nil {
		return err
	}
	raw, err := dragonflycodec.MarshalFollowRequest(dragonflyfollowrequest.Request{
		Process: in.settings.Instance, Reports: []dragonflyobservation.Observation{o},
	})
	if err != nil {
		return err
	}
	_, err = in.callLeader(ctx, c.Leader(), rpcObserve, raw)
	return err
}

// observeHere passes a report to the fleet duty of this instance.
func (in *instance) observeHere(ctx context.Context, o dragonflyobservation.Observation) error {
	if err := awaitLastReport(ctx, o); err != nil {
		return err
	}
	return in.fleet.observe(ctx, o)
}

// awaitLastReport returns an error if o is the last report of an upstream and its sender
// has given up. Such a report has no number: it must not count once its upstream may have
// started again under its id.
func awaitLastReport(ctx context.Context, o dragonflyobservation.Observation) error {
	if o.State != dragonflyobservation.Left {
		return nil
	}
	return awaitDeparture(ctx)
}

// callLeader sends a call to leader. It returns an error if leader is empty or
// its address is not known.
func (in *instance) callLeader(ctx context.Context, leader, rpc string, raw []byte) (res []byte, err error) {
	client := in.peers.client(leader)
	if client == nil {
		return nil, errors.New("no leader is known")
	}
	return client.Call(ctx, rpc, raw)
}

// storeDocument validates a routing document and stores it on a quorum.
func (in *instance) storeDocument(ctx context.Context, content []byte) (err error) {
	d, err := in.fleet.decode(content)
	if err != nil {
		slog.Info("document refused", "reason", err.Error(), "bytes", len(content))
		return errors.WithMessage(dragonflyoperations.ErrInvalid, err.Error())
	}
	if fault := dragonflydocumentcheck.Fault(d); fault != "" {
		slog.Info("document refused", "version", d.Version(), "reason", fault)
		return errors.WithMessage(dragonflyoperations.ErrInvalid, fault)
	}
	packed, err := dragonflycompression.Compress(content)
	if err != nil {
		return err
	}
	return in.proposeOperatorChange(ctx, dragonflychange.Change{
		Kind: dragonflychange.StoreDocument, Version: d.Version(), Content: packed,
	}, fmt.Sprintf("document %d", d.Version()))
}

// setZone takes a zone out of service, or back in. The change takes effect only if the
// caller is still waiting after the latest change of the zone that this instance has seen:
// one that has given up may have had the opposite acknowledged by another instance.
func (in *instance) setZone(ctx context.Context, zone string, out bool) (err error) {
	defer func() { err = wrapUnavailable(err) }()
	ch := dragonflychange.Change{Kind: dragonflychange.ReturnZone, ZoneName: zone}
	if out {
		ch.Kind = dragonflychange.TakeOutZone
	}
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	for {
		ch.Seen = in.applied.Load().index
		if err := awaitDeparture(ctx); err != nil {
			slog.Info("statement dropped", "what", fmt.Sprintf("zone %s out %t", zone, out), "reason", err.Error())
			return err
		}
		if ch.Seen == 0 {
			continue // Nothing has been received from the leader yet.
		}
		err := in.proposeOperatorChange(ctx, ch, fmt.Sprintf("zone %s out %t", zone, out))
		if !errors.Is(err, errOutdated) {
			return err
		}
	}
}

// errOutdated is returned for a change of a zone that may have been changed since.
var errOutdated = errors.New("the zone may have been changed since the call arrived")

// awaitDeparture waits for departureDelay. It returns an error if the caller has left or
// the time of the call is over.
func awaitDeparture(ctx context.Context) error {
	timer := time.NewTimer(departureDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errors.WithMessage(ctx.Err(), "the caller has left or its time is over")
	}
}

// proposeOperatorChange proposes ch under a new ID. The caller may repeat it under another
// ID: documents have a version, and a change of a zone is bound to what its caller can know.
func (in *instance) proposeOperatorChange(ctx context.Context, ch dragonflychange.Change, what string) (err error) {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	ch.ID = fmt.Sprintf("%s-%x-%d", in.settings.Instance, in.started, in.requests.Add(1))
	ch.Operator, ch.At = "operator", time.Now().UnixNano()
	began := in.clock.Now()
	r := in.propose(ctx, ch)
	slog.Info("statement", "what", what, "outcome", outcomeName(r), "message", r.Message,
		"ms", in.clock.Now().Sub(began).Milliseconds())
	switch r.Outcome {
	case dragonflyresult.Accepted:
		return nil
	case dragonflyresult.Invalid:
		return errors.WithMessage(dragonflyoperations.ErrInvalid, r.Message)
	case dragonflyresult.Conflict:
		return errOutdated
	default:
		return errors.WithMessage(dragonflyoperations.ErrUnavailable, r.Message)
	}
}

// propose proposes a change to this instance, or to the leader if another one
// leads.
func (in *instance) propose(ctx context.Context, ch dragonflychange.Change) dragonflyresult.Result {
	if in.draining.Load() {
		return notRun("the control instance is shutting down")
	}
	a := in.proposeLocal(ctx, ch)
	if a.leader == "" {
		return a.result
	}
	return in.proposeAt(ctx, a.leader, ch)
}

// document returns the newest document.
func (in *instance) document(ctx context.Context) (content []byte, err error) {
	defer func() {
		if err != nil {
			in.readFailures.add(in.clock.Now(), in.consensusState.Load(), err)
		}
		err = wrapUnavailable(err)
	}()
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	packed, err := in.packedDocument(ctx)
	if err != nil || len(packed) == 0 {
		return nil, err
	}
	return dragonflycompression.Decompress(packed)
}

// packedDocument returns the newest document compressed, nil if there is none.
func (in *instance) packedDocument(ctx context.Context) (packed []byte, err error) {
	c := in.consensusState.Load()
	if c.Leading() {
		_, packed, err = in.read(ctx)
		return packed, err
	}
	res, err := in.callLeader(ctx, c.Leader(), rpcRead, nil)
	if err != nil {
		return nil, err
	}
	resp, err := dragonflycodec.UnmarshalFollowResponse(res)
	return resp.Content, err
}

// wrapUnavailable returns ErrUnavailable with the text of err, and err itself if it is nil
// or one of the errors of operations.
func wrapUnavailable(err error) error {
	if err == nil || errors.Is(err, dragonflyoperations.ErrUnavailable) || errors.Is(err, dragonflyoperations.ErrInvalid) {
		return err
	}
	return errors.WithMessage(dragonflyoperations.ErrUnavailable, err.Error())
}
