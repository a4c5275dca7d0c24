// Package dragonflylease keeps, for the head of a group, the lease that the
// members grant it. The head may relay tokens only while the lease lasts.
package dragonflylease

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflygate"
	"dragonflyrelay.example/library/values/dragonflygroupaction"
	"dragonflyrelay.example/library/values/dragonflygroupevent"
	"dragonflyrelay.example/library/values/dragonflyheartbeat"
	"dragonflyrelay.example/library/values/dragonflyheartbeatack"
	"dragonflyrelay.example/library/values/dragonflymember"
)

// Spans of the lease protocol.
const (
	// Duration is how long after its sending an acknowledged heartbeat grants
	// the lease.
	Duration = 1200 * dragonflyduration.Millisecond
	// Interval is the time between heartbeats: two may be lost before the lease
	// ends.
	Interval = 400 * dragonflyduration.Millisecond
	// FormingInterval is the time between heartbeats while a new group forms, for
	// at most JoinTimeout: agents learn of the group at different times, and the
	// group serves only after the next heartbeat to the last of them.
	FormingInterval = 100 * dragonflyduration.Millisecond
	// DriftMargin covers clocks that run at different speeds: 0.1% of Duration
	// on each side is 2.4 ms, and the rest is reserve.
	DriftMargin = 50 * dragonflyduration.Millisecond
	// JoinTimeout is how long after the forming of the group a member may stay
	// silent before it counts as lost. Its agent learns of the group from its
	// own report, which it makes once a second.
	JoinTimeout = 5 * dragonflyduration.Second
)

// member is what the head knows of one other member.
type member struct {
	dragonflymember.Member
	sequence uint64
	sent     dragonflymap.Map[uint64, dragonflyinstant.Instant]
	lastSent dragonflyinstant.Instant
	ackedSeq uint64
	acked    dragonflyinstant.Instant
	ack      dragonflyheartbeatack.Ack
	echo     dragonflyinstant.Instant // SentAt of the latest acknowledgement
	heard    dragonflyinstant.Instant // when that one arrived
}

// Lease is the head's side of one group's lease. The zero value holds none.
type Lease struct {
	group, fence uint64
	self         string
	epoch        uint64
	formedAt     dragonflyinstant.Instant
	now          dragonflyinstant.Instant
	members      dragonflymap.Map[string, member]
	holds        bool
	drained      bool
}

// Held reports whether there is a group at all.
func (l Lease) Held() bool { return l.group != 0 }

// ValidUntil returns the end of the lease: the earliest end that any member
// grants. A group without other members renews itself at every step.
func (l Lease) ValidUntil() dragonflyinstant.Instant {
	if !l.Held() {
		return 0
	}
	end := l.now.Add(Duration)
	for _, m := range l.members.All() {
		if m.acked == 0 {
			return 0
		}
		end = min(end, m.acked.Add(Duration))
	}
	return end
}

// Gate returns the permission to relay. It is closed unless every member's
// engine holds the group.
func (l Lease) Gate() dragonflygate.Gate {
	g := dragonflygate.Gate{Group: l.group, Fence: l.fence}
	if l.allHold() {
		g.ValidUntil = l.ValidUntil()
	}
	return g
}

// Ready reports whether the group could relay at the last step.
func (l Lease) Ready() bool { return l.now.Before(l.Gate().ValidUntil) }

// MemberLeaving reports whether a member asks for no new work.
func (l Lease) MemberLeaving() bool {
	for _, m := range l.members.All() {
		if m.ack.State == dragonflyheartbeatack.Leaving {
			return true
		}
	}
	return false
}

// Zones returns the zones of the other members as far as they are known, in the
// order of the members' ids.
func (l Lease) Zones() []string {
	var zones []string
	for _, m := range l.members.All() {
		if m.ack.Zone != "" {
			zones = append(zones, m.ack.Zone)
		}
	}
	return zones
}

// Lost returns, in order, the instances that no longer grant the lease.
func (l Lease) Lost() []string {
	var lost []string
	for id, m := range l.members.All() {
		silent := !l.now.Before(m.acked.Add(Duration))
		if m.acked == 0 {
			silent = l.now.Sub(l.formedAt) >= JoinTimeout
		}
		if silent || m.ack.State == dragonflyheartbeatack.Refused && l.now.Sub(l.formedAt) >= JoinTimeout {
			lost = append(lost, id)
		}
	}
	return lost
}

// Step handles one event. Events that belong to the membership are ignored.
func (l Lease) Step(now dragonflyinstant.Instant, ev dragonflygroupevent.Event) (Lease, []dragonflygroupaction.Action) {
	l.now = now
	switch ev.Kind {
	case dragonflygroupevent.Formed:
		l = formed(now, ev)
	case dragonflygroupevent.Ended:
		return Lease{}, l.release()
	case dragonflygroupevent.EngineHoldsGroup:
		l.holds = ev.HoldsGroup
	case dragonflygroupevent.RequestsCounted:
		l.drained = ev.Count == 0 && ev.Closed
	case dragonflygroupevent.Acked:
		l = l.acknowledged(ev.Ack)
	}
	return l.send()
}

func formed(now dragonflyinstant.Instant, ev dragonflygroupevent.Event) Lease {
	l := Lease{group: ev.Order.Group, fence: ev.Order.Fence, self: ev.Self, epoch: ev.Epoch, formedAt: now, now: now}
	for _, m := range ev.Order.Members {
		if m.Instance != ev.Self {
			l.members = l.members.With(m.Instance, member{Member: m})
		}
	}
	return l
}

func (l Lease) allHold() bool {
	if !l.Held() || !l.holds {
		return false
	}
	for _, m := range l.members.All() {
		if m.ack.State != dragonflyheartbeatack.Ready && m.ack.State != dragonflyheartbeatack.Leaving {
			return false
		}
	}
	return true
}

// acknowledged handles a member's answer. Only the send time of the heartbeat
// that it answers counts: the arrival of the answer says nothing about when the
// member promised.
func (l Lease) acknowledged(a dragonflyheartbeatack.Ack) Lease {
	m, ok := l.members.Get(a.Member)
	if !ok || a.Group != l.group || a.Fence != l.fence || a.Sequence <= m.ackedSeq || a.Sequence > m.sequence {
		return l
	}
	m.ackedSeq, m.ack = a.Sequence, a
	sent, ok := m.sent.Get(a.Sequence)
	if ok && a.State != dragonflyheartbeatack.Refused {
		m.acked = max(m.acked, sent)
		m.echo, m.heard = a.SentAt, l.now
	}
	l.members = l.members.With(a.Member, m)
	return l
}

// remaining returns the lease that was left when the member's latest acknowledgement
// arrived, by what the head knows now: acknowledgements of other members that came
// after it have extended the lease meanwhile.
func (l Lease) remaining(m member) dragonflyduration.Duration {
	return max(l.ValidUntil().Sub(m.heard), 0)
}

// release tells the members that they are free.
func (l Lease) release() []dragonflygroupaction.Action {
	var acts []dragonflygroupaction.Action
	for _, m := range l.members.All() {
		acts = append(acts, dragonflygroupaction.Action{
			Kind:   dragonflygroupaction.Send,
			Member: m.Member,
			Heartbeat: dragonflyheartbeat.Heartbeat{
				Group: l.group, Fence: l.fence, Head: l.self, Epoch: l.epoch, Sequence: m.sequence + 1, Released: true,
			},
		})
	}
	return acts
}

// send makes the heartbeats that are due.
func (l Lease) send() (Lease, []dragonflygroupaction.Action) {
	var acts []dragonflygroupaction.Action
	interval := Interval
	if l.now.Sub(l.formedAt) < JoinTimeout && !l.allHold() {
		interval = FormingInterval
	}
	for id, m := range l.members.All() {
		if m.lastSent != 0 && l.now.Sub(m.lastSent) < interval {
			continue
		}
		m.sequence++
		m.lastSent = l.now
		m.sent = m.sent.With(m.sequence, l.now)
		for seq, at := range m.sent.All() {
			if l.now.Sub(at) <= Duration {
				break
			}
			m.sent = m.sent.Without(seq)
		}
		l.members = l.members.With(id, m)
		acts = append(acts, dragonflygroupaction.Action{
			Kind:   dragonflygroupaction.Send,
			Member: m.Member,
			Heartbeat: dragonflyheartbeat.Heartbeat{
				Group: l.group, Fence: l.fence, Head: l.self, Epoch: l.epoch, Sequence: m.sequence,
				EchoSentAt: m.echo, Remaining: l.remaining(m), Ready: l.allHold(),
				Drained: l.drained && l.MemberLeaving(),
			},
		})
	}
	return l, acts
}
