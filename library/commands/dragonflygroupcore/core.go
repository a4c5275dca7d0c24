// Package dragonflygroupcore combines the membership of an agent with, on a head, the
// lease of its group, so that a head gives up its lease in the same step in which it
// leaves the group.
package dragonflygroupcore

import (
	"dragonflyrelay.example/library/commands/dragonflylease"
	"dragonflyrelay.example/library/commands/dragonflymembership"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflygate"
	"dragonflyrelay.example/library/values/dragonflygroupaction"
	"dragonflyrelay.example/library/values/dragonflygroupevent"
)

// Core is the membership of one agent with its lease. The zero value is that of an
// agent that has just started.
type Core struct {
	self       string
	epoch      uint64
	membership dragonflymembership.Membership
	lease      dragonflylease.Lease
}

// WithSelf returns the core of the instance with the given id.
func (c Core) WithSelf(instance string) Core {
	c.self = instance
	c.membership = c.membership.WithSelf(instance)
	return c
}

// WithEpoch returns the core of the process with the given epoch. Each process of an
// agent must have a higher epoch than the ones before it.
func (c Core) WithEpoch(epoch uint64) Core {
	c.epoch = epoch
	return c
}

// Membership returns the agent's membership.
func (c Core) Membership() dragonflymembership.Membership { return c.membership }

// Lease returns the lease of the agent's group if the agent is its head, else the
// zero Lease.
func (c Core) Lease() dragonflylease.Lease { return c.lease }

// Gate returns the permission to relay tokens for the agent's group.
func (c Core) Gate() dragonflygate.Gate { return c.lease.Gate() }

// Leaving reports whether new requests must be refused because the agent, its
// upstream, its group or a member of the group is leaving.
func (c Core) Leaving() bool { return c.membership.Leaving() || c.lease.MemberLeaving() }

// Step handles one event and returns the actions of the membership and the lease.
func (c Core) Step(now dragonflyinstant.Instant, ev dragonflygroupevent.Event) (Core, []dragonflygroupaction.Action) {
	var acts []dragonflygroupaction.Action
	stepLease := func(ev dragonflygroupevent.Event) {
		next, more := c.lease.Step(now, ev)
		c.lease, acts = next, append(acts, more...)
	}
	next, decisions := c.membership.Step(now, ev)
	c.membership = next
	for _, a := range decisions {
		acts = append(acts, a)
		switch a.Kind {
		case dragonflygroupaction.Release:
			stepLease(dragonflygroupevent.Event{Kind: dragonflygroupevent.Ended})
		case dragonflygroupaction.Join:
			if c.membership.IsHead() {
				stepLease(dragonflygroupevent.Event{Kind: dragonflygroupevent.Formed, Order: a.Order, Self: c.self, Epoch: c.epoch})
			}
		}
	}
	if c.lease.HasGroup() {
		stepLease(ev)
		stepLease(dragonflygroupevent.Event{Kind: dragonflygroupevent.EngineHoldsGroup, HoldsGroup: c.membership.HoldsGroup()})
	}
	return c, acts
}
