package dragonflydirectory

import (
	"dragonflyrelay.example/library/values/dragonflygrouporder"
)

// Order returns the order for the instance, to be sent with every answer to its
// report; a repeated order has no effect on an agent. An instance that still
// belongs to a group that the replicated state has removed is told to leave it.
// A group with a fencing number that this instance has not heard of may be newer
// than its state, so it is left alone.
func (d Directory) Order(instance string) dragonflygrouporder.Order {
	if id, ok := d.groupOf.Get(instance); ok {
		rec, _ := d.groups.Get(id)
		g := rec.group
		return dragonflygrouporder.Order{Kind: dragonflygrouporder.Form, Group: g.ID, Fence: g.Fence, Model: g.Model, Members: g.Members}
	}
	s, ok := d.reports.Get(instance)
	if !ok || s.report.Group == 0 || s.report.Fence > d.topFence {
		return dragonflygrouporder.Order{}
	}
	return dragonflygrouporder.Order{Kind: dragonflygrouporder.Dissolve, Group: s.report.Group, Fence: s.report.Fence}
}
