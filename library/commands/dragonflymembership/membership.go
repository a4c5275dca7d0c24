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
	// Promise is how long after a heartbeat a member joins no other group. It
	// outlasts the lease that the heartbeat gave the head by the drift margin.
	Promise = dragonflylease.Duration + dragonflylease.DriftMargin
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
	// highest is the highest fencing number seen, accepted whether it came from
	// an order of control rather than from the engine.
	highest  uint64
	accepted bool

	promise   dragonflyinstant.Instant
	view      dragonflyinstant.Instant
	releaseBy dragonflyinstant.Instant
	epoch     uint64
	freeAt    dragonflyinstant.Instant
	sent      dragonflymap.Map[dragonflyinstant.Instant, bool]
	drained   bool
	busy      int
	closed    bool
	leaving   bool

	upstream dragonflyannouncement.Announcement
	seen     dragonflyinstant.Instant
	lost     bool

	ordering, unsettled, confirmed bool
	retryAt                        dragonflyinstant.Instant
}

// WithSelf returns the membership of the instance with the given id.
func (m Membership) WithSelf(instance string) Membership {
	m.self = instance
	return m
}

// State returns where the agent stood at the last step.
func (m Membership) State() state {
	switch {
	case m.unsettled:
		return Unknown
	case m.pending.Kind != 0, m.current.Kind == 0 && m.now.Before(m.promise):
		return Releasing
	case m.current.Kind == 0:
		return Free
	case m.Holds():
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

// Holds reports whether the engine says that it holds the agent's group.
func (m Membership) Holds() bool {
	return m.current.Kind != 0 && !m.unsettled && m.Alive() && m.engineHolds(m.current)
}

// Alive reports whether the upstream is neither silent nor lost.
func (m Membership) Alive() bool {
	return m.seen != 0 && !m.lost && m.now.Sub(m.seen) < SilenceTimeout
}

// Upstream returns the latest announcement.
func (m Membership) Upstream() dragonflyannouncement.Announcement { return m.upstream }

// Leaving reports whether the agent, or the group through it, takes no new work.
func (m Membership) Leaving() bool {
	return m.leaving || m.pending.Kind != 0 || m.upstream.State == dragonflyannouncement.Leaving
}

// Left reports that a graceful shutdown is complete.
func (m Membership) Left() bool {
	return m.leaving && m.current.Kind == 0 && m.busy == 0 && m.closed
}

// PromisedUntil returns the time before which the agent joins no other group.
func (m Membership) PromisedUntil() dragonflyinstant.Instant { return m.promise }

// Lapsed reports whether the agent is in a group whose lease, as far as it knows
// it, has run out.
func (m Membership) Lapsed() bool {
	return m.current.Kind != 0 && m.view != 0 && !m.now.Before(m.view)
}

// AliveUntil returns how long the agent, as a member, may treat its group as
// alive. It never lies after the end of the head's lease.
func (m Membership) AliveUntil() dragonflyinstant.Instant { return m.view }

// Highest returns the highest fencing number that the agent has seen.
func (m Membership) Highest() uint64 { return m.highest }

// Step handles one event. Events that belong to the lease are ignored.
func (m Membership) Step(now dragonflyinstant.Instant, ev dragonflygroupevent.Event) (Membership, []dragonflygroupaction.Action) {
	if !m.started {
		m.started, m.promise = true, now.Add(Promise)
	}
	m.now = now
	var acts []dragonflygroupaction.Action
	switch ev.Kind {
	case dragonflygroupevent.Announced:
		m = m.announced(ev.Announcement)
	case dragonflygroupevent.UpstreamLost:
		m.lost = true
	case dragonflygroupevent.Ordered:
		m, acts = m.ordered(ev.Order)
	case dragonflygroupevent.HeartbeatReceived:
		m, acts = m.heard(ev.Heartbeat)
	case dragonflygroupevent.OrderResolved:
		m = m.settled(ev)
	case dragonflygroupevent.Leave:
		m.leaving = true
		m = m.release(dragonflygrouporder.Order{Kind: dragonflygrouporder.Dissolve})
	case dragonflygroupevent.RequestsCounted:
		m.busy, m.closed = ev.Count, ev.Closed
	}
	m, more := m.advance()
	return m, append(acts, more...)
}

func (m Membership) announced(a dragonflyannouncement.Announcement) Membership {
	m.upstream, m.seen, m.lost = a, m.now, false
	m.highest = max(m.highest, a.Fence)
	if m.current.Kind != 0 && m.engineHolds(m.current) {
		m.retryAt, m.confirmed = 0, false // should the engine lose it, it is to load it at once
	}
	if a.State != dragonflyannouncement.Warming {
		// While the engine loads, its announcement does not yet tell the outcome.
		m.unsettled = false
	}
	if m.pending.Kind == dragonflygrouporder.Form && m.pending.Fence < a.Fence ||
		m.pending.Kind == 0 && m.current.Kind != 0 && m.current.Fence < a.Fence {
		// The engine has executed a newer order, which a process before this one
		// must have given; the group of the older one is gone.
		m = m.release(dragonflygrouporder.Order{Kind: dragonflygrouporder.Dissolve, Group: m.current.Group})
	}
	return m
}

func (m Membership) settled(ev dragonflygroupevent.Event) Membership {
	m.ordering, m.confirmed = false, false
	switch ev.Outcome {
	case dragonflygroupevent.Done:
		m.confirmed = true
		m.retryAt = m.now.Add(LoadTimeout)
	case dragonflygroupevent.Refused:
		m.retryAt = m.now.Add(RetryInterval)
		if m.current.Kind != 0 && m.current.Fence == ev.Fence {
			m = m.release(dragonflygrouporder.Order{Kind: dragonflygrouporder.Dissolve, Group: m.current.Group})
		}
	case dragonflygroupevent.NotSent:
		m.retryAt = m.now.Add(RetryInterval)
	default:
		m.unsettled = true
	}
	return m
}

// release makes the agent leave its group, if it has one, in favour of next.
func (m Membership) release(next dragonflygrouporder.Order) Membership {
	if m.current.Kind != 0 && m.pending.Kind == 0 {
		m.releaseBy = m.now.Add(DrainTimeout)
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

// heard answers a heartbeat. Every answer but Refused is a promise.
func (m Membership) heard(h dragonflyheartbeat.Heartbeat) (Membership, []dragonflygroupaction.Action) {
	ack := dragonflyheartbeatack.Ack{Group: h.Group, Fence: h.Fence, Member: m.self, Sequence: h.Sequence, SentAt: m.now, Zone: m.upstream.Zone}
	ack.State = dragonflyheartbeatack.Refused
	ours := m.current.Kind != 0 && m.current.Group == h.Group && m.current.Fence == h.Fence &&
		m.current.Members[0].Instance == h.Head && !m.IsHead()
	if ours && h.Released {
		return m.freed(h), []dragonflygroupaction.Action{{Kind: dragonflygroupaction.Answer, Ack: ack}}
	}
	if ours && m.pending.Kind != 0 {
		m.drained = m.drained || h.Drained
		ours = !m.drained && m.now.Before(m.releaseBy)
	}
	if ours {
		m = m.renew(h)
		switch {
		case !m.Holds():
			ack.State = dragonflyheartbeatack.Joining
		case m.Leaving():
			ack.State = dragonflyheartbeatack.Leaving
		default:
			ack.State = dragonflyheartbeatack.Ready
		}
	}
	return m, []dragonflygroupaction.Action{{Kind: dragonflygroupaction.Answer, Ack: ack}}
}

// freed ends the promise and leaves the group, because the head has given up its
// lease. A late release by an earlier process of the head says nothing about the
// lease of the present one.
func (m Membership) freed(h dragonflyheartbeat.Heartbeat) Membership {
	if h.Epoch < m.epoch {
		return m
	}
	m.promise = min(m.promise, m.now)
	if m.pending.Kind == 0 {
		m = m.release(dragonflygrouporder.Order{Kind: dragonflygrouporder.Dissolve, Group: m.current.Group})
	}
	return m
}

func (m Membership) renew(h dragonflyheartbeat.Heartbeat) Membership {
	m.epoch = max(m.epoch, h.Epoch)
	m.promise = max(m.promise, m.now.Add(Promise))
	// An echo of a time that this process has not sent comes from a clock of an
	// earlier process in the slot.
	if _, ok := m.sent.Get(h.EchoSentAt); ok && h.Remaining > 0 {
		m.view = max(m.view, h.EchoSentAt.Add(h.Remaining-dragonflylease.DriftMargin))
	}
	for at := range m.sent.All() {
		if m.now.Sub(at) <= 2*dragonflylease.Duration {
			break
		}
		m.sent = m.sent.Without(at)
	}
	m.sent = m.sent.With(m.now, true)
	return m
}

// Leaves reports whether the agent is shutting down.
func (m Membership) Leaves() bool { return m.leaving }
