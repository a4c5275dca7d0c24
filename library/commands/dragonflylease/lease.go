// Package dragonflylease tracks the lease that the members of a group grant its
// head. The head may relay tokens only while the lease is valid.
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

// Durations of the lease protocol.
const (
	// Duration is the term of the lease that an acknowledged heartbeat grants,
	// counted from the sending of the heartbeat.
	Duration = 1200 * dragonflyduration.Millisecond
	// SoleDuration is the term of the lease of a group without other members. Nobody else
	// grants it and no other instance can join another group meanwhile, so it need not end
	// when the head has not run for a second or two, after which its next step renews it.
	// It ends when the machine has been suspended.
	SoleDuration = dragonflyduration.Minute
	// HeartbeatInterval is the time between heartbeats, a third of Duration: the
	// lease survives the loss of one heartbeat, but expires if two in a row are lost.
	HeartbeatInterval = 400 * dragonflyduration.Millisecond
	// FormingHeartbeatInterval is the time between heartbeats while a new group
	// forms, for at most JoinTimeout. Agents receive the order at different times,
	// and the group serves only after the next heartbeat to the last of them.
	FormingHeartbeatInterval = 100 * dragonflyduration.Millisecond
	// DriftMargin covers clock drift: 0.1% of Duration on each side is 2.4 ms in
	// total, and the rest is reserve.
	DriftMargin = 50 * dragonflyduration.Millisecond
	// JoinTimeout is how long after the forming of the group a member may go without
	// acknowledging before it counts as lost. Its agent receives the order in the
	// response to its report, which it sends once a second.
	JoinTimeout = 5 * dragonflyduration.Second
)

// member is the state of one other member of the group.
type member struct {
	dragonflymember.Member
	sequence      uint64                                             // of the latest heartbeat sent to it
	sentAt        dragonflymap.Map[uint64, dragonflyinstant.Instant] // by sequence
	lastSentAt    dragonflyinstant.Instant
	ackedSequence uint64
	ackedSentAt   dragonflyinstant.Instant // sending of the latest acknowledged heartbeat
	ack           dragonflyheartbeatack.Ack
	echoSentAt    dragonflyinstant.Instant // SentAt of the latest acknowledgement
	ackedAt       dragonflyinstant.Instant // when that acknowledgement arrived
}

// Lease is the state of a group's lease at its head. The zero value has no group.
type Lease struct {
	group, fence uint64
	self         string
	epoch        uint64
	formedAt     dragonflyinstant.Instant
	now          dragonflyinstant.Instant
	members      dragonflymap.Map[string, member]
	engineHolds  bool
	drained      bool
}

// HasGroup reports whether l is the lease of a group.
func (l Lease) HasGroup() bool { return l.group != 0 }

// ValidUntil returns the end of the lease, which is the earliest end that any member
// grants; 0 if there is no group or a member has not granted any. Without other
// members, each step renews the lease.
func (l Lease) ValidUntil() dragonflyinstant.Instant {
	if !l.HasGroup() {
		return 0
	}
	if l.members.Len() == 0 {
		return l.now.Add(SoleDuration)
	}
	end := l.now.Add(Duration)
	for _, m := range l.members.All() {
		if m.ackedSentAt == 0 {
			return 0
		}
		end = min(end, m.ackedSentAt.Add(Duration))
	}
	return end
}

// Gate returns the permission to relay tokens. It is closed unless the engine of
// every member holds the group.
func (l Lease) Gate() dragonflygate.Gate {
	g := dragonflygate.Gate{Group: l.group, Fence: l.fence}
	if l.allHoldGroup() {
		g.ValidUntil = l.ValidUntil()
	}
	return g
}

// Ready reports whether the group could relay at the last step.
func (l Lease) Ready() bool { return l.now.Before(l.Gate().ValidUntil) }

// MemberLeaving reports whether a member is leaving, so that the group must take no
// new requests.
func (l Lease) MemberLeaving() bool {
	for _, m := range l.members.All() {
		if m.ack.State == dragonflyheartbeatack.Leaving {
			return true
		}
	}
	return false
}

// Zones returns the zones that the other members have reported, in the order of the
// members' ids.
func (l Lease) Zones() []string {
	var zones []string
	for _, m := range l.members.All() {
		if m.ack.Zone != "" {
			zones = append(zones, m.ack.Zone)
		}
	}
	return zones
}

// LostMembers returns, in order, the ids of the members that no longer grant the
// lease.
func (l Lease) LostMembers() []string {
	var lost []string
	for id, m := range l.members.All() {
		silent := !l.now.Before(m.ackedSentAt.Add(Duration))
		if m.ackedSentAt == 0 {
			silent = l.now.Sub(l.formedAt) >= JoinTimeout
		}
		if silent || m.ack.State == dragonflyheartbeatack.Refused && l.now.Sub(l.formedAt) >= JoinTimeout {
			lost = append(lost, id)
		}
	}
	return lost
}

// Step handles one event. It ignores events of the membership.
func (l Lease) Step(now dragonflyinstant.Instant, ev dragonflygroupevent.Event) (Lease, []dragonflygroupaction.Action) {
	l.now = now
	switch ev.Kind {
	case dragonflygroupevent.Formed:
		l = newLease(now, ev)
	case dragonflygroupevent.Ended:
		return Lease{}, l.releaseMembers()
	case dragonflygroupevent.EngineHoldsGroup:
		l.engineHolds = ev.HoldsGroup
	case dragonflygroupevent.RequestsCounted:
		l.drained = ev.Count == 0 && ev.Closed
	case dragonflygroupevent.Acked:
		l = l.handleAck(ev.Ack)
	}
	return l.sendDue()
}

func newLease(now dragonflyinstant.Instant, ev dragonflygroupevent.Event) Lease {
	l := Lease{group: ev.Order.Group, fence: ev.Order.Fence, self: ev.Self, epoch: ev.Epoch, formedAt: now, now: now}
	for _, m := range ev.Order.Members {
		if m.Instance != ev.Self {
			l.members = l.members.With(m.Instance, member{Member: m})
		}
	}
	return l
}

func (l Lease) allHoldGroup() bool {
	if !l.HasGroup() || !l.engineHolds {
		return false
	}
	for _, m := range l.members.All() {
		if m.ack.State != dragonflyheartbeatack.Ready && m.ack.State != dragonflyheartbeatack.Leaving {
			return false
		}
	}
	return true
}

// handleAck handles a member's answer to a heartbeat. The lease counts from the
// sending of that heartbeat, since the arrival of the answer does not show when the
// member made its promise.
func (l Lease) handleAck(a dragonflyheartbeatack.Ack) Lease {
	m, ok := l.members.Get(a.Member)
	if !ok || a.Group != l.group || a.Fence != l.fence || a.Sequence <= m.ackedSequence || a.Sequence > m.sequence {
		return l
	}
	m.ackedSequence, m.ack = a.Sequence, a
	sent, ok := m.sentAt.Get(a.Sequence)
	if ok && a.State != dragonflyheartbeatack.Refused {
		m.ackedSentAt = max(m.ackedSentAt, sent)
		m.echoSentAt, m.ackedAt = a.SentAt, l.now
	}
	l.members = l.members.With(a.Member, m)
	return l
}

// remaining returns the time from the arrival of m's latest acknowledgement to the
// present end of the lease. Later acknowledgements of other members may have extended
// the lease.
func (l Lease) remaining(m member) dragonflyduration.Duration {
	return max(l.ValidUntil().Sub(m.ackedAt), 0)
}

// releaseMembers returns the heartbeats that release the members from their promises.
func (l Lease) releaseMembers() []dragonflygroupaction.Action {
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

// sendDue returns the heartbeats that are due.
func (l Lease) sendDue() (Lease, []dragonflygroupaction.Action) {
	var acts []dragonflygroupaction.Action
	interval := HeartbeatInterval
	if l.now.Sub(l.formedAt) < JoinTimeout && !l.allHoldGroup() {
		interval = FormingHeartbeatInterval
	}
	for id, m := range l.members.All() {
		if m.lastSentAt != 0 && l.now.Sub(m.lastSentAt) < interval {
			continue
		}
		m.sequence++
		m.lastSentAt = l.now
		m.sentAt = m.sentAt.With(m.sequence, l.now)
		for seq, at := range m.sentAt.All() {
			if l.now.Sub(at) <= Duration {
				break
			}
			m.sentAt = m.sentAt.Without(seq)
		}
		l.members = l.members.With(id, m)
		acts = append(acts, dragonflygroupaction.Action{
			Kind:   dragonflygroupaction.Send,
			Member: m.Member,
			Heartbeat: dragonflyheartbeat.Heartbeat{
				Group: l.group, Fence: l.fence, Head: l.self, Epoch: l.epoch, Sequence: m.sequence,
				EchoSentAt: m.echoSentAt, Remaining: l.remaining(m), Ready: l.allHoldGroup(),
				Drained: l.drained && l.MemberLeaving(),
			},
		})
	}
	return l, acts
}
