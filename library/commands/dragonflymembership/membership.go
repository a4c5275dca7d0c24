// Package dragonflymembership decides which group an agent belongs to. By accepting a
// heartbeat, an agent promises the head of its group to join no other group for
// PromiseDuration. The package records these promises, so that an instance is never in
// two groups, and rejects stale orders before they reach the engine.
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

// Timeouts and intervals of the membership.
const (
	// PromiseDuration is the time after a heartbeat in which a member joins no other
	// group. It exceeds the lease that the heartbeat grants the head by the drift
	// margin.
	PromiseDuration = dragonflylease.Duration + dragonflylease.DriftMargin
	// SilenceTimeout is the time without an announcement after which an
	// upstream counts as failed: three announcements.
	SilenceTimeout = 3 * dragonflyduration.Second
	// DrainTimeout bounds how long an ordered release waits for requests in
	// progress. Without a bound, a head that is partitioned from control could
	// keep its members forever.
	DrainTimeout = 30 * dragonflyduration.Second
	// RetryInterval is the time between orders to an engine that does not accept
	// them.
	RetryInterval = dragonflyduration.Second
	// LoadTimeout is the time after which a load order that the engine accepted is
	// repeated, unless the engine is warming up or holds the group.
	LoadTimeout = 5 * dragonflyduration.Second
	// UnloadDelay is how long an agent without a group keeps its engine loaded, so
	// that the next group of the same model forms without a load from the weight
	// store.
	UnloadDelay = dragonflyduration.Minute
)

// Reasons for which an order is rejected.
const (
	ReasonOldFence  = "old-fence"
	ReasonNotMember = "not-a-member"
	ReasonLeaving   = "leaving"
	ReasonService   = "plain-service"
	// ReasonUnannounced rejects orders until the first announcement of the upstream,
	// whose fencing number may be higher than that of a delayed order.
	ReasonUnannounced = "unannounced"
)

// state is the state of an agent with regard to groups.
type state uint8

// States of an agent.
const (
	// Free agents are in no group.
	Free state = iota
	// Joining agents have accepted an order; the engine does not hold the group yet.
	Joining
	// Member agents have an engine that holds the group.
	Member
	// Releasing agents are leaving their group, or have left it and wait until no
	// head can rely on their promise.
	Releasing
	// Unknown agents have an engine that may or may not have executed an order.
	Unknown
)

// Membership is the group membership of one agent. The zero value is that of an
// agent that has just started: it waits for a full PromiseDuration before it joins a
// group, since an earlier process may have made a promise.
type Membership struct {
	self    string
	now     dragonflyinstant.Instant
	started bool

	// current is the order of the agent's group, and pending the order to execute
	// once the agent may leave that group. Kind is 0 if there is none.
	current, pending dragonflygrouporder.Order
	// highestFence is the highest fencing number seen. fenceFromControl reports
	// whether this process has accepted an order from control.
	highestFence     uint64
	fenceFromControl bool

	promisedUntil   dragonflyinstant.Instant
	groupAliveUntil dragonflyinstant.Instant
	releaseDeadline dragonflyinstant.Instant                         // end of the wait for requests in progress
	headEpoch       uint64                                           // highest epoch in heartbeats of the group
	freeSince       dragonflyinstant.Instant                         // when the agent left its latest group
	ackTimes        dragonflymap.Map[dragonflyinstant.Instant, bool] // of recent acknowledgements
	headDrained     bool
	inFlight        int
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

// State returns the state of the agent as of the last step.
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

// HoldsGroup reports whether the engine, by its latest announcement, holds the
// agent's group.
func (m Membership) HoldsGroup() bool {
	return m.current.Kind != 0 && !m.outcomeUnknown && m.Alive() && m.engineHolds(m.current)
}

// Alive reports whether the upstream has announced itself within SilenceTimeout and
// has not been lost since.
func (m Membership) Alive() bool {
	return m.announcedAt != 0 && !m.upstreamLost && m.now.Sub(m.announcedAt) < SilenceTimeout
}

// Upstream returns the latest announcement of the upstream.
func (m Membership) Upstream() dragonflyannouncement.Announcement { return m.upstream }

// Leaving reports whether the agent, and so its group, must take no new requests.
func (m Membership) Leaving() bool {
	return m.shuttingDown || m.pending.Kind != 0 || m.upstream.State == dragonflyannouncement.Leaving
}

// ShutdownComplete reports whether a graceful shutdown is complete.
func (m Membership) ShutdownComplete() bool {
	return m.shuttingDown && m.current.Kind == 0 && m.inFlight == 0 && m.admissionClosed
}

// PromisedUntil returns the time before which the agent joins no other group.
func (m Membership) PromisedUntil() dragonflyinstant.Instant { return m.promisedUntil }

// LeaseLapsed reports whether the agent is in a group whose lease has expired, as far
// as the heartbeats show.
func (m Membership) LeaseLapsed() bool {
	return m.current.Kind != 0 && m.groupAliveUntil != 0 && !m.now.Before(m.groupAliveUntil)
}

// GroupAliveUntil returns the time until which the agent, as a member, may treat its
// group as alive. It is never later than the end of the head's lease.
func (m Membership) GroupAliveUntil() dragonflyinstant.Instant { return m.groupAliveUntil }

// HighestFence returns the highest fencing number that the agent has seen.
func (m Membership) HighestFence() uint64 { return m.highestFence }

// Step handles one event. It ignores events of the lease.
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
	case dragonflygroupevent.HeartbeatReceived:
		m, acts = m.handleHeartbeat(ev.Heartbeat)
	case dragonflygroupevent.OrderResolved:
		m = m.handleOutcome(ev)
	case dragonflygroupevent.Leave:
		m.shuttingDown = true
		m = m.release(dragonflygrouporder.Order{Kind: dragonflygrouporder.Dissolve})
	case dragonflygroupevent.RequestsCounted:
		m.inFlight, m.admissionClosed = ev.Count, ev.Closed
	}
	m, more := m.advance()
	return m, append(acts, more...)
}

func (m Membership) handleAnnouncement(a dragonflyannouncement.Announcement) Membership {
	m.upstream, m.announcedAt, m.upstreamLost = a, m.now, false
	m.highestFence = max(m.highestFence, a.Fence)
	if m.current.Kind != 0 && m.engineHolds(m.current) {
		m.retryAt, m.orderAccepted = 0, false // if the engine drops the group, it reloads at once
	}
	if a.State != dragonflyannouncement.Warming {
		// While the engine loads, its announcement does not show the outcome yet.
		m.outcomeUnknown = false
	}
	if m.pending.Kind == dragonflygrouporder.Form && m.pending.Fence < a.Fence ||
		m.pending.Kind == 0 && m.current.Kind != 0 && m.current.Fence < a.Fence {
		// The engine has executed a newer order, which an earlier process of this
		// agent must have sent, so the group of the older order is gone.
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

// release starts to leave the agent's group, if it has one, and then to execute next.
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

// handleHeartbeat answers a heartbeat. Every answer except Refused renews the
// promise.
func (m Membership) handleHeartbeat(h dragonflyheartbeat.Heartbeat) (Membership, []dragonflygroupaction.Action) {
	ack := dragonflyheartbeatack.Ack{Group: h.Group, Fence: h.Fence, Member: m.self, Sequence: h.Sequence, SentAt: m.now, Zone: m.upstream.Zone}
	ack.State = dragonflyheartbeatack.Refused
	ownGroup := m.current.Kind != 0 && m.current.Group == h.Group && m.current.Fence == h.Fence &&
		m.current.Members[0].Instance == h.Head && !m.IsHead()
	if ownGroup && h.Released {
		return m.handleRelease(h), []dragonflygroupaction.Action{{Kind: dragonflygroupaction.Answer, Ack: ack}}
	}
	if ownGroup && m.pending.Kind != 0 {
		m.headDrained = m.headDrained || h.Drained
		ownGroup = !m.headDrained && m.now.Before(m.releaseDeadline)
	}
	if ownGroup {
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

// handleRelease ends the promise and leaves the group, since the head has given up
// its lease. A delayed release of an earlier process of the head is ignored: the
// current process may hold a lease.
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
	// An echoed time that this process has not sent is from the clock of an earlier
	// process of this agent, and not comparable.
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
