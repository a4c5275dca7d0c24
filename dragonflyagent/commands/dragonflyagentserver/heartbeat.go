package dragonflyagentserver

import (
	"context"
	"time"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/commands/dragonflylease"
	"dragonflyrelay.example/library/common/dragonflyring"
	"dragonflyrelay.example/library/common/dragonflyrpcclient"
	"dragonflyrelay.example/library/values/dragonflygroupaction"
	"dragonflyrelay.example/library/values/dragonflygroupevent"
	"dragonflyrelay.example/library/values/dragonflyheartbeat"
)

// sender delivers a head's heartbeats to one member. A member that does not
// answer holds up its own sender only.
type sender struct {
	s       *Server
	address string
	ring    *dragonflyring.Ring[dragonflyheartbeat.Heartbeat]
	client  *dragonflyrpcclient.Client
}

// heartbeatRing is the number of heartbeats that wait for a sender. More would
// only grant less, since the lease counts from when they were made.
const heartbeatRing = 2

// send hands a heartbeat to the member's sender and drops it if there is no room.
func (g *grouper) send(a dragonflygroupaction.Action) {
	sn, ok := g.senders[a.Member.Instance]
	if !ok {
		sn = &sender{
			s: g.s, address: a.Member.AgentAddress,
			ring:   dragonflyring.New[dragonflyheartbeat.Heartbeat]("agent-heartbeat", heartbeatRing),
			client: &dragonflyrpcclient.Client{Addr: a.Member.AgentAddress, Key: g.s.key, Connections: 1},
		}
		if g.s.beats.Start(g.s.run, "heartbeat", sn.run) != nil {
			return
		}
		g.senders[a.Member.Instance] = sn
	}
	_ = sn.ring.TryPut(a.Heartbeat)
	if a.Heartbeat.Released {
		// It is the last one to this member; the sender ends after it.
		sn.ring.Close()
		delete(g.senders, a.Member.Instance)
	}
}

// run sends heartbeats until the ring is closed.
func (sn *sender) run(ctx context.Context) error {
	defer sn.client.Close()
	for {
		h, err := sn.ring.Take(ctx)
		if err != nil {
			return nil
		}
		sn.beat(ctx, h)
	}
}

// beat makes one call. Its timeout is the lease: a later answer grants nothing.
func (sn *sender) beat(ctx context.Context, h dragonflyheartbeat.Heartbeat) {
	call, cancel := context.WithTimeout(ctx, time.Duration(dragonflylease.Duration))
	defer cancel()
	req, err := dragonflycodec.MarshalHeartbeat(h)
	if err != nil {
		return
	}
	counters.Add("heartbeats-sent", 1)
	res, err := sn.client.Call(call, "/dragonfly.agent/Heartbeat", req)
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
