// Package dragonflygroupcore steps an agent's membership and, on a head, the
// lease of its group as one: a head gives up its lease in the very step in which
// it leaves the group.
package dragonflygroupcore

import (
	"dragonflyrelay.example/library/commands/dragonflylease"
	"dragonflyrelay.example/library/commands/dragonflymembership"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflygate"
	"dragonflyrelay.example/library/values/dragonflygroupaction"
	"dragonflyrelay.example/library/values/dragonflygroupevent"
)

// Core is the membership of one agent with its lease. The zero value belongs to
// an agent that has just started.
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

// WithEpoch returns the core of the process with the given epoch. Of two
// processes in one slot the later one must have the higher epoch.
func (c Core) WithEpoch(epoch uint64) Core {
	c.epoch = epoch
	return c
}

// Membership returns the agent's membership.
func (c Core) Membership() dragonflymembership.Membership { return c.membership }

// Lease returns the head's lease, which is zero on any other member.
func (c Core) Lease() dragonflylease.Lease { return c.lease }

// Gate returns the permission to relay tokens of the agent's group.
func (c Core) Gate() dragonflygate.Gate { return c.lease.Gate() }

// Leaving reports whether new work must be refused because the agent, its
// upstream, its group or a member of it is about to go.
func (c Core) Leaving() bool { return c.membership.Leaving() || c.lease.MemberLeaving() }

// Step handles one event.
func (c Core) Step(now dragonflyinstant.Instant, ev dragonflygroupevent.Event) (Core, []dragonflygroupaction.Action) {
	var acts []dragonflygroupaction.Action
	feed := func(ev dragonflygroupevent.Event) {
		next, more := c.lease.Step(now, ev)
		c.lease, acts = next, append(acts, more...)
	}
	next, decided := c.membership.Step(now, ev)
	c.membership = next
	for _, a := range decided {
		acts = append(acts, a)
		switch a.Kind {
		case dragonflygroupaction.Release:
			feed(dragonflygroupevent.Event{Kind: dragonflygroupevent.Ended})
		case dragonflygroupaction.Join:
			if c.membership.IsHead() {
				feed(dragonflygroupevent.Event{Kind: dragonflygroupevent.Formed, Order: a.Order, Self: c.self, Epoch: c.epoch})
			}
		}
	}
	if c.lease.Held() {
		feed(ev)
		feed(dragonflygroupevent.Event{Kind: dragonflygroupevent.EngineHoldsGroup, HoldsGroup: c.membership.Holds()})
	}
	return c, acts
}
