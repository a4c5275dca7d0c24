package dragonflymembership

import (
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflyannouncement"
	"dragonflyrelay.example/library/values/dragonflygroupaction"
	"dragonflyrelay.example/library/values/dragonflygrouporder"
)

// handleOrder handles an order from control, which may be delayed or repeated.
func (m Membership) handleOrder(o dragonflygrouporder.Order) (Membership, []dragonflygroupaction.Action) {
	switch o.Kind {
	case dragonflygrouporder.Dissolve:
		return m.dissolve(o), nil
	case dragonflygrouporder.Form:
		return m.form(o)
	default:
		return m, nil
	}
}

func (m Membership) dissolve(o dragonflygrouporder.Order) Membership {
	m.highestFence = max(m.highestFence, o.Fence)
	switch {
	case m.pending.Kind == dragonflygrouporder.Form && m.pending.Group == o.Group:
		return m.release(dragonflygrouporder.Order{Kind: dragonflygrouporder.Dissolve, Group: m.current.Group})
	case m.current.Kind != 0 && m.current.Group == o.Group && m.pending.Kind == 0:
		return m.release(o)
	default:
		return m
	}
}

func (m Membership) form(o dragonflygrouporder.Order) (Membership, []dragonflygroupaction.Action) {
	reject := func(reason string) (Membership, []dragonflygroupaction.Action) {
		return m, []dragonflygroupaction.Action{{Kind: dragonflygroupaction.Reject, Order: o, Reason: reason}}
	}
	switch {
	case sameForm(m.current, o) && m.pending.Kind == 0, sameForm(m.pending, o):
		return m, nil
	case m.shuttingDown:
		return reject(ReasonLeaving)
	case m.upstream.Kind == dragonflyannouncement.Service:
		return reject(ReasonService)
	case m.announcedAt == 0:
		return reject(ReasonUnannounced)
	case !hasMember(o, m.self):
		return reject(ReasonNotMember)
	case o.Fence <= m.highestFence && !m.adopts(o):
		return reject(ReasonOldFence)
	}
	m.highestFence, m.fenceFromControl = o.Fence, true
	return m.release(o), nil
}

// adopts reports whether o is the order of the group that the engine has held since
// before this process started. A restarted agent then rejoins its group without
// another load.
func (m Membership) adopts(o dragonflygrouporder.Order) bool {
	return !m.fenceFromControl && m.announcedAt != 0 && m.engineHolds(o) && o.Fence == m.highestFence
}

// advance takes the steps that the time and the latest event permit: it leaves the
// group, joins the next one and sends orders to the engine, one at a time.
func (m Membership) advance() (Membership, []dragonflygroupaction.Action) {
	var acts []dragonflygroupaction.Action
	add := func(a dragonflygroupaction.Action) { acts = append(acts, a) }
	if m.pending.Kind != 0 && m.current.Kind != 0 && m.releasable() {
		add(dragonflygroupaction.Action{Kind: dragonflygroupaction.Release, Order: m.current})
		m.current, m.groupAliveUntil, m.headDrained, m.headEpoch = dragonflygrouporder.Order{}, 0, false, 0
		m.freeSince = m.now
		m.ackTimes = dragonflymap.Map[dragonflyinstant.Instant, bool]{}
		if m.pending.Kind == dragonflygrouporder.Dissolve {
			m.pending = dragonflygrouporder.Order{}
		}
	}
	if m.orderInFlight || m.outcomeUnknown {
		return m, acts
	}
	if m.current.Kind == 0 && m.pending.Kind == dragonflygrouporder.Form && !m.now.Before(m.promisedUntil) {
		m.current, m.pending = m.pending, dragonflygrouporder.Order{}
		m.retryAt, m.orderAccepted = 0, false
		add(dragonflygroupaction.Action{Kind: dragonflygroupaction.Join, Order: m.current})
	}
	if m.needsUnload() {
		m.orderInFlight, m.retryAt = true, m.now.Add(RetryInterval)
		add(dragonflygroupaction.Action{Kind: dragonflygroupaction.Unload, Order: dragonflygrouporder.Order{
			Kind: dragonflygrouporder.Dissolve, Group: m.upstream.Group, Fence: m.upstream.Fence, Model: m.upstream.Model,
		}})
	}
	if m.needsLoad() {
		m.orderInFlight = true
		add(dragonflygroupaction.Action{Kind: dragonflygroupaction.Load, Order: m.current})
	}
	return m, acts
}

// needsLoad reports whether to order the engine to load the group. Only an
// announcement shows what the engine holds, so an order without effect is repeated.
func (m Membership) needsLoad() bool {
	if m.current.Kind == 0 || m.pending.Kind != 0 || m.orderInFlight || !m.Alive() || m.engineHolds(m.current) {
		return false
	}
	if m.orderAccepted && m.upstream.State == dragonflyannouncement.Warming {
		return false
	}
	return !m.now.Before(m.retryAt)
}

// needsUnload reports whether the engine still holds a group that the agent left at
// least UnloadDelay ago. An agent that shuts down leaves its engine loaded, so that
// the next process of the agent can rejoin the group.
func (m Membership) needsUnload() bool {
	return m.current.Kind == 0 && m.pending.Kind == 0 && !m.shuttingDown && m.freeSince != 0 && m.Alive() &&
		m.upstream.Group != 0 && m.now.Sub(m.freeSince) >= UnloadDelay && !m.now.Before(m.retryAt)
}

// releasable reports whether the agent may leave its group now. A head waits until
// its requests are done, at most DrainTimeout, and ends its own lease in the same
// step; a member waits until its promise has expired.
func (m Membership) releasable() bool {
	if m.IsHead() {
		return m.inFlight == 0 && m.admissionClosed || !m.now.Before(m.releaseDeadline)
	}
	return !m.now.Before(m.promisedUntil)
}

func sameForm(a, b dragonflygrouporder.Order) bool {
	return a.Kind == dragonflygrouporder.Form && b.Kind == dragonflygrouporder.Form &&
		a.Group == b.Group && a.Fence == b.Fence
}

func hasMember(o dragonflygrouporder.Order, instance string) bool {
	for _, m := range o.Members {
		if m.Instance == instance {
			return true
		}
	}
	return false
}
