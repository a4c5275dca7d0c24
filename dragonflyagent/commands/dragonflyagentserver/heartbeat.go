package dragonflyagentserver

import (
	"context"
	"time"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/commands/dragonflylease"
	"dragonflyrelay.example/library/common/dragonflyring"
	"dragonflyrelay.example/library/common/dragonflyrpcclient"
	"dragonflyrelay.example/library/common/dragonflyrpcstream"
	"dragonflyrelay.example/library/values/dragonflygroupaction"
	"dragonflyrelay.example/library/values/dragonflygroupevent"
	"dragonflyrelay.example/library/values/dragonflyheartbeat"
	"github.com/pkg/errors"
)

// sender delivers a head's heartbeats to one member. A member that does not
// answer blocks its own sender only.
type sender struct {
	s       *Server
	address string
	ring    *dragonflyring.Ring[dragonflyheartbeat.Heartbeat]
	client  *dragonflyrpcclient.Client
	// stream carries all heartbeats to the member. A call per heartbeat would
	// repeat the method name and the internal key, which are more bytes than the
	// heartbeat itself.
	stream *dragonflyrpcstream.Stream
	cancel context.CancelFunc // cancels stream
}

// heartbeatCall is the streaming call that carries heartbeats and their answers.
const heartbeatCall = "/dragonfly.agent/Heartbeat"

// heartbeatRingCapacity is the number of heartbeats that wait for a sender. A
// longer queue would only shorten the granted lease, which counts from the
// creation of the heartbeat.
const heartbeatRingCapacity = 2

// send passes a heartbeat to the member's sender, which it starts if there is
// none, and drops the heartbeat if the ring is full.
func (g *groupDutyState) send(a dragonflygroupaction.Action) {
	sn, ok := g.senders[a.Member.Instance]
	if !ok {
		sn = &sender{
			s: g.s, address: a.Member.AgentAddress,
			ring:   dragonflyring.New[dragonflyheartbeat.Heartbeat]("agent-heartbeat", heartbeatRingCapacity),
			client: &dragonflyrpcclient.Client{Addr: a.Member.AgentAddress, Key: g.s.key, Connections: 1},
		}
		if g.s.heartbeatPool.Start(g.s.runContext, "heartbeat", sn.run) != nil {
			return
		}
		g.senders[a.Member.Instance] = sn
	}
	_ = sn.ring.TryPut(a.Heartbeat)
	if a.Heartbeat.Released {
		// A release is the last heartbeat to this member; the sender ends after it.
		sn.ring.Close()
		delete(g.senders, a.Member.Instance)
	}
}

// run sends heartbeats until the ring is closed.
func (sn *sender) run(ctx context.Context) error {
	defer sn.client.Close()
	defer sn.closeStream()
	for {
		h, err := sn.ring.Take(ctx)
		if err != nil {
			return nil
		}
		sn.sendHeartbeat(ctx, h)
	}
}

// sendHeartbeat sends one heartbeat and passes the acknowledgement to the group
// duty.
func (sn *sender) sendHeartbeat(ctx context.Context, h dragonflyheartbeat.Heartbeat) {
	req, err := dragonflycodec.MarshalHeartbeat(h)
	if err != nil {
		return
	}
	counters.Add("heartbeats-sent", 1)
	res, err := sn.exchange(ctx, req)
	if err != nil {
		counters.Add("heartbeats-failed", 1)
		return
	}
	ack, err := dragonflycodec.UnmarshalAck(res)
	if err != nil {
		counters.Add("heartbeats-failed", 1)
		return
	}
	_ = sn.s.groupRing.Put(ctx, groupInput{ev: dragonflygroupevent.Event{Kind: dragonflygroupevent.Acked, Ack: ack}})
}

// exchange sends a message on the stream, which it opens if there is none, and
// waits for the answer. The lease duration bounds the wait, since a later answer
// grants nothing. After a failure the next exchange opens a new stream, so that a
// late answer is not matched to another heartbeat.
func (sn *sender) exchange(ctx context.Context, req []byte) (res []byte, err error) {
	defer func() {
		if err != nil {
			sn.closeStream()
		}
		err = errors.WithMessage(err, "exchange heartbeat")
	}()
	if sn.stream == nil {
		open, cancel := context.WithCancel(ctx)
		sn.cancel = cancel
		if sn.stream, err = sn.client.Open(open, heartbeatCall); err != nil {
			return nil, err
		}
	}
	timeout := time.AfterFunc(time.Duration(dragonflylease.Duration), sn.cancel)
	defer timeout.Stop()
	if err := sn.stream.Send(req); err != nil {
		return nil, err
	}
	return sn.stream.Receive()
}

// closeStream closes the stream if one is open.
func (sn *sender) closeStream() {
	if sn.cancel != nil {
		sn.cancel()
	}
	if sn.stream != nil {
		_ = sn.stream.Close()
	}
	sn.stream, sn.cancel = nil, nil
}

// handleHeartbeats answers a head's heartbeats until the head ends the stream.
func (s *Server) handleHeartbeats(stream *dragonflyrpcstream.Stream) error {
	for {
		req, err := stream.Receive()
		if err != nil {
			return nil // The head has ended the stream or has failed.
		}
		res, err := s.handleHeartbeat(stream.Context(), req)
		if err != nil {
			return err
		}
		if err := stream.Send(res); err != nil {
			return err
		}
	}
}
