// Package dragonflymembership decides which group an agent belongs to. It keeps
// the promises that the agent has made to heads of groups, so that an instance
// is never in two groups, and it keeps old orders from reaching the engine.
package dragonflymembership

import (
	"dragonflyrelay.example/library/commands/dragonflylease"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflyannouncement"
	"dragonflyrelay.example/library/values/dragonflygroupaction"
	"dragonflyrelay.example/library/values/dragonflygroupevent"
	"dragonflyrelay.example/library/values/dragonflygrouporder"
	"dragonflyrelay.example/library/values/dragonflyheartbeat"
	"dragonflyrelay.example/library/values/dragonflyheartbeatack"
)

// Spans of time.
const (
	// PromiseDuration is how long after a heartbeat a member joins no other group. It
	// outlasts the lease that the heartbeat gave the head by the drift margin.
	PromiseDuration = dragonflylease.Duration + dragonflylease.DriftMargin
	// SilenceTimeout is the time without an announcement after which an
	// upstream counts as failed: three announcements.
	SilenceTimeout = 3 * dragonflyduration.Second
	// DrainTimeout bounds how long an ordered release waits for requests in
	// progress. Without a bound, a head that is cut off from control could hold
	// its members forever.
	DrainTimeout = 30 * dragonflyduration.Second
	// RetryInterval is the time between orders to an engine that does not take
	// them.
	RetryInterval = dragonflyduration.Second
	// LoadTimeout is how long an engine that accepted an order may neither load
	// nor hold the group before the order is repeated.
	LoadTimeout = 5 * dragonflyduration.Second
	// UnloadDelay is how long an agent without a group leaves its engine loaded,
	// so that the next group of the same model forms without the weight store.
	UnloadDelay = dragonflyduration.Minute
)

// Reasons of rejected orders.
const (
	ReasonOldFence  = "old-fence"
	ReasonNotMember = "not-a-member"
	ReasonLeaving   = "leaving"
	ReasonService   = "plain-service"
	// ReasonUnannounced refuses orders until the upstream has told which fencing
	// number it knows, which may be higher than that of a late order.
	ReasonUnannounced = "unannounced"
)

// state tells where the agent stands between groups.
type state uint8

// States of an agent.
const (
	// Free is in no group.
	Free state = iota
	// Joining has accepted an order; the engine does not hold the group yet.
	Joining
	// Member has an engine that holds the group.
	Member
	// Releasing waits until no head can count on the agent any more.
	Releasing
	// Unknown has an engine that may or may not have executed an order.
	Unknown
)

// Membership is the state of one agent. The zero value belongs to an agent that
// has just started: it waits for a whole promise before it joins a group, since
// it may have forgotten one.
type Membership struct {
	self    string
	now     dragonflyinstant.Instant
	started bool

	// current is the group that the agent belongs to, and pending the order that
	// waits until the agent may leave it. Kind is 0 where there is none.
	current, pending dragonflygrouporder.Order
	// highestFence is the highest fencing number seen, accepted whether it came from
	// an order of control rather than from the engine.
	highestFence     uint64
	fenceFromControl bool

	promisedUntil   dragonflyinstant.Instant
	groupAliveUntil dragonflyinstant.Instant
	releaseDeadline dragonflyinstant.Instant
	headEpoch       uint64
	freeSince       dragonflyinstant.Instant
	ackTimes        dragonflymap.Map[dragonflyinstant.Instant, bool]
	headDrained     bool
	openRequests    int
	admissionClosed bool
	shuttingDown    bool

	upstream     dragonflyannouncement.Announcement
	announcedAt  dragonflyinstant.Instant
	upstreamLost bool

	orderInFlight, outcomeUnknown, orderAccepted bool
	retryAt                                      dragonflyinstant.Instant
}

// WithSelf returns the membership of the instance with the given id.
func (m Membership) WithSelf(instance string) Membership {
	m.self = instance
	return m
}

// State returns where the agent stood at the last step.
func (m Membership) State() state {
	switch {
	case m.outcomeUnknown:
		return Unknown
	case m.pending.Kind != 0, m.current.Kind == 0 && m.now.Before(m.promisedUntil):
		return Releasing
	case m.current.Kind == 0:
		return Free
	case m.HoldsGroup():
		return Member
	default:
		return Joining
	}
}

// Group returns the order of the group that the agent belongs to; its Kind is 0
// if there is none.
func (m Membership) Group() dragonflygrouporder.Order { return m.current }

// IsHead reports whether the agent is the head of its group.
func (m Membership) IsHead() bool {
	return m.current.Kind != 0 && m.current.Members[0].Instance == m.self
}

// HoldsGroup reports whether the engine says that it holds the agent's group.
func (m Membership) HoldsGroup() bool {
	return m.current.Kind != 0 && !m.outcomeUnknown && m.Alive() && m.engineHolds(m.current)
}

// Alive reports whether the upstream is neither silent nor lost.
func (m Membership) Alive() bool {
	return m.announcedAt != 0 && !m.upstreamLost && m.now.Sub(m.announcedAt) < SilenceTimeout
}

// Upstream returns the latest announcement.
func (m Membership) Upstream() dragonflyannouncement.Announcement { return m.upstream }

// Leaving reports whether the agent, or the group through it, takes no new work.
func (m Membership) Leaving() bool {
	return m.shuttingDown || m.pending.Kind != 0 || m.upstream.State == dragonflyannouncement.Leaving
}

// ShutdownComplete reports that a graceful shutdown is complete.
func (m Membership) ShutdownComplete() bool {
	return m.shuttingDown && m.current.Kind == 0 && m.openRequests == 0 && m.admissionClosed
}

// PromisedUntil returns the time before which the agent joins no other group.
func (m Membership) PromisedUntil() dragonflyinstant.Instant { return m.promisedUntil }

// LeaseLapsed reports whether the agent is in a group whose lease, as far as it knows
// it, has run out.
func (m Membership) LeaseLapsed() bool {
	return m.current.Kind != 0 && m.groupAliveUntil != 0 && !m.now.Before(m.groupAliveUntil)
}

// GroupAliveUntil returns how long the agent, as a member, may treat its group as
// alive. It never lies after the end of the head's lease.
func (m Membership) GroupAliveUntil() dragonflyinstant.Instant { return m.groupAliveUntil }

// HighestFence returns the highest fencing number that the agent has seen.
func (m Membership) HighestFence() uint64 { return m.highestFence }

// Step handles one event. Events that belong to the lease are ignored.
func (m Membership) Step(now dragonflyinstant.Instant, ev dragonflygroupevent.Event) (Membership, []dragonflygroupaction.Action) {
	if !m.started {
		m.started, m.promisedUntil = true, now.Add(PromiseDuration)
	}
	m.now = now
	var acts []dragonflygroupaction.Action
	switch ev.Kind {
	case dragonflygroupevent.Announced:
		m = m.handleAnnouncement(ev.Announcement)
	case dragonflygroupevent.UpstreamLost:
		m.upstreamLost = true
	case dragonflygroupevent.Ordered:
		m, acts = m.handleOrder(ev.Order)
	case dragonflygroupevent.Heard:
		m, acts = m.handleHeartbeat(ev.Heartbeat)
	case dragonflygroupevent.Settled:
		m = m.handleOutcome(ev)
	case dragonflygroupevent.Leave:
		m.shuttingDown = true
		m = m.release(dragonflygrouporder.Order{Kind: dragonflygrouporder.Dissolve})
	case dragonflygroupevent.Busy:
		m.openRequests, m.admissionClosed = ev.Count, ev.Closed
	}
	m, more := m.advance()
	return m, append(acts, more...)
}

func (m Membership) handleAnnouncement(a dragonflyannouncement.Announcement) Membership {
	m.upstream, m.announcedAt, m.upstreamLost = a, m.now, false
	m.highestFence = max(m.highestFence, a.Fence)
	if m.current.Kind != 0 && m.engineHolds(m.current) {
		m.retryAt, m.orderAccepted = 0, false // should the engine lose it, it is to load it at once
	}
	if a.State != dragonflyannouncement.Warming {
		// While the engine loads, its announcement does not yet tell the outcome.
		m.outcomeUnknown = false
	}
	if m.pending.Kind == dragonflygrouporder.Form && m.pending.Fence < a.Fence ||
		m.pending.Kind == 0 && m.current.Kind != 0 && m.current.Fence < a.Fence {
		// The engine has executed a newer order, which a process before this one
		// must have given; the group of the older one is gone.
		m = m.release(dragonflygrouporder.Order{Kind: dragonflygrouporder.Dissolve, Group: m.current.Group})
	}
	return m
}

func (m Membership) handleOutcome(ev dragonflygroupevent.Event) Membership {
	m.orderInFlight, m.orderAccepted = false, false
	switch ev.Outcome {
	case dragonflygroupevent.Done:
		m.orderAccepted = true
		m.retryAt = m.now.Add(LoadTimeout)
	case dragonflygroupevent.Refused:
		m.retryAt = m.now.Add(RetryInterval)
		if m.current.Kind != 0 && m.current.Fence == ev.Fence {
			m = m.release(dragonflygrouporder.Order{Kind: dragonflygrouporder.Dissolve, Group: m.current.Group})
		}
	case dragonflygroupevent.NotSent:
		m.retryAt = m.now.Add(RetryInterval)
	default:
		m.outcomeUnknown = true
	}
	return m
}

// release makes the agent leave its group, if it has one, in favour of next.
func (m Membership) release(next dragonflygrouporder.Order) Membership {
	if m.current.Kind != 0 && m.pending.Kind == 0 {
		m.releaseDeadline = m.now.Add(DrainTimeout)
	}
	if m.current.Kind == 0 && next.Kind == dragonflygrouporder.Dissolve {
		next = dragonflygrouporder.Order{}
	}
	m.pending = next
	return m
}

func (m Membership) engineHolds(o dragonflygrouporder.Order) bool {
	return m.upstream.Group == o.Group && m.upstream.Fence == o.Fence
}

// handleHeartbeat answers a heartbeat. Every answer but Refused is a promise.
func (m Membership) handleHeartbeat(h dragonflyheartbeat.Heartbeat) (Membership, []dragonflygroupaction.Action) {
	ack := dragonflyheartbeatack.Ack{Group: h.Group, Fence: h.Fence, Member: m.self, Sequence: h.Sequence, SentAt: m.now, Zone: m.upstream.Zone}
	ack.State = dragonflyheartbeatack.Refused
	ours := m.current.Kind != 0 && m.current.Group == h.Group && m.current.Fence == h.Fence &&
		m.current.Members[0].Instance == h.Head && !m.IsHead()
	if ours && h.Released {
		return m.handleRelease(h), []dragonflygroupaction.Action{{Kind: dragonflygroupaction.Answer, Ack: ack}}
	}
	if ours && m.pending.Kind != 0 {
		m.headDrained = m.headDrained || h.Drained
		ours = !m.headDrained && m.now.Before(m.releaseDeadline)
	}
	if ours {
		m = m.renewPromise(h)
		switch {
		case !m.HoldsGroup():
			ack.State = dragonflyheartbeatack.Joining
		case m.Leaving():
			ack.State = dragonflyheartbeatack.Leaving
		default:
			ack.State = dragonflyheartbeatack.Ready
		}
	}
	return m, []dragonflygroupaction.Action{{Kind: dragonflygroupaction.Answer, Ack: ack}}
}

// handleRelease ends the promise and leaves the group, because the head has given up its
// lease. A late release by an earlier process of the head says nothing about the
// lease of the present one.
func (m Membership) handleRelease(h dragonflyheartbeat.Heartbeat) Membership {
	if h.Epoch < m.headEpoch {
		return m
	}
	m.promisedUntil = min(m.promisedUntil, m.now)
	if m.pending.Kind == 0 {
		m = m.release(dragonflygrouporder.Order{Kind: dragonflygrouporder.Dissolve, Group: m.current.Group})
	}
	return m
}

func (m Membership) renewPromise(h dragonflyheartbeat.Heartbeat) Membership {
	m.headEpoch = max(m.headEpoch, h.Epoch)
	m.promisedUntil = max(m.promisedUntil, m.now.Add(PromiseDuration))
	// An echo of a time that this process has not sent comes from a clock of an
	// earlier process in the slot.
	if _, ok := m.ackTimes.Get(h.EchoSentAt); ok && h.Remaining > 0 {
		m.groupAliveUntil = max(m.groupAliveUntil, h.EchoSentAt.Add(h.Remaining-dragonflylease.DriftMargin))
	}
	for at := range m.ackTimes.All() {
		if m.now.Sub(at) <= 2*dragonflylease.Duration {
			break
		}
		m.ackTimes = m.ackTimes.Without(at)
	}
	m.ackTimes = m.ackTimes.With(m.now, true)
	return m
}

// ShuttingDown reports whether the agent is shutting down.
func (m Membership) ShuttingDown() bool { return m.shuttingDown }
