package dragonflycontrolserver

import (
	"context"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyrpcstream"
	"dragonflyrelay.example/library/values/dragonflyconsensusevent"
	"dragonflyrelay.example/library/values/dragonflyorders"
	"dragonflyrelay.example/library/values/dragonflystatus"
	"dragonflyrelay.example/library/values/dragonflytable"
	"dragonflyrelay.example/library/values/dragonflywatch"
	"github.com/pkg/errors"
)

// Names of the remote calls.
const (
	rpcPropose  = "/dragonfly.control/Propose"
	rpcForward  = "/dragonfly.control/Forward"
	rpcPeer     = "/dragonfly.control/Peer"
	rpcTransfer = "/dragonfly.control/Transfer"
	rpcStatus   = "/dragonfly.control/Status"
	rpcReport   = "/dragonfly.control/Report"
	rpcWatch    = "/dragonfly.control/Watch"
	rpcRelay    = "/dragonfly.control/Relay"
	rpcFollow   = "/dragonfly.control/Follow"
	rpcObserve  = "/dragonfly.control/Observe"
	rpcRead     = "/dragonfly.control/Read"
	rpcJoin     = "/dragonfly.control/Join"
	rpcLeave    = "/dragonfly.control/Leave"
)

// maxTransferBytes bounds the size of a streamed batch of messages.
const maxTransferBytes = 1 << 30

// unary returns the handlers of the unary calls by name.
func (in *instance) unary() map[string]func(ctx context.Context, req []byte) (res []byte, err error) {
	return map[string]func(ctx context.Context, req []byte) (res []byte, err error){
		rpcPropose: in.proposeCall,
		rpcForward: in.forwardCall,
		rpcPeer:    in.peerCall,
		rpcStatus:  in.statusCall,
		rpcReport:  in.reportCall,
		rpcWatch:   in.watchCall,
		rpcRelay:   in.relayCall,
		rpcFollow:  in.followCall,
		rpcObserve: in.observeCall,
		rpcRead:    in.readCall,
		rpcJoin:    in.joinCall,
		rpcLeave:   in.leaveCall,
	}
}

// streams returns the handlers of the streaming calls by name.
func (in *instance) streams() map[string]func(s *dragonflyrpcstream.Stream) error {
	return map[string]func(s *dragonflyrpcstream.Stream) error{rpcTransfer: in.transferCall}
}

// peerCall receives a batch of consensus messages from another control instance.
func (in *instance) peerCall(ctx context.Context, req []byte) (res []byte, err error) {
	messages, err := dragonflycodec.UnmarshalMessages(req)
	if err != nil {
		return nil, err
	}
	for _, m := range messages {
		in.lastSender.Store(m.From)
		ev := dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Received, Message: m}
		if err := in.consensus.In.Put(ctx, ev); err != nil {
			return nil, err
		}
	}
	return nil, nil
}

// transferCall receives a batch of consensus messages that is streamed in chunks.
func (in *instance) transferCall(s *dragonflyrpcstream.Stream) (err error) {
	var raw []byte
	for {
		chunk, err := s.Receive()
		if err != nil && len(raw) > 0 && isEOF(err) {
			break
		}
		if err != nil {
			return err
		}
		if len(raw)+len(chunk) > maxTransferBytes {
			return errors.Errorf("message is larger than %d bytes", maxTransferBytes)
		}
		raw = append(raw, chunk...)
	}
	if _, err := in.peerCall(s.Context(), raw); err != nil {
		return err
	}
	return s.Send(nil)
}

// reportCall receives an agent's report. It responds with the confirmation age,
// the term, the pending order for the agent's engine, and the configuration if the
// agent's version is older.
func (in *instance) reportCall(_ context.Context, req []byte) (res []byte, err error) {
	r, err := dragonflycodec.UnmarshalReport(req)
	if err != nil {
		return nil, err
	}
	if r.Announcement.Instance == "" {
		return nil, errors.New("report names no instance")
	}
	in.directory.report(r)
	if !in.consensusState.Load().Leading() {
		in.relay.report(r)
	}
	// The age is read before the state, so that it never understates the age of
	// the state.
	o := dragonflyorders.Orders{ConfirmationAge: in.confirmationAge(), Term: in.consensusState.Load().Term()}
	if cfg := in.config(); cfg.Version() > r.ConfigVersion {
		o.Config, o.HasConfig = cfg, true
	}
	o.Order = in.directory.latest.Load().PendingOrder(r)
	return dragonflycodec.MarshalOrders(o)
}

// watchCall responds to an entry with the changes of the routing table.
func (in *instance) watchCall(_ context.Context, req []byte) (res []byte, err error) {
	w, err := dragonflycodec.UnmarshalWatch(req)
	if err != nil {
		return nil, err
	}
	age := in.confirmationAge()
	t := in.directory.latest.Load().Table(w)
	return dragonflycodec.MarshalTable(in.withConfig(t, w, age))
}

// withConfig returns t with the confirmation age, and with the configuration if
// it is newer than the one in w.
func (in *instance) withConfig(t dragonflytable.Table, w dragonflywatch.Watch, age dragonflyduration.Duration) dragonflytable.Table {
	t.ConfirmationAge = age
	if cfg := in.config(); cfg.Version() > w.ConfigVersion {
		t.Config, t.HasConfig = cfg, true
	}
	return t
}

// statusCall returns the state of this instance to operators. The configuration is that of
// the applied state, like the groups and the history. One that was pulled from the leader
// may be newer.
func (in *instance) statusCall(context.Context, []byte) (res []byte, err error) {
	age, c, v, d := in.confirmationAge(), in.consensusState.Load(), in.applied.Load(), in.directory.latest.Load()
	s := dragonflystatus.Status{
		Instance: in.settings.Instance, Leader: c.Leader(), Term: c.Term(), Commit: v.index, ConfirmationAge: age,
		Config: v.cluster.Config(), Groups: v.cluster.Groups(), History: v.cluster.History(), Reports: d.Reports(), Routes: d.Routes(),
		Conditions: in.fleet.latest.Load().Conditions(in.clock.Now()),
	}
	return dragonflycodec.MarshalStatus(s)
}
