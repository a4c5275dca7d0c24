package dragonflydirectory

import (
	"dragonflyrelay.example/library/values/dragonflygrouporder"
	"dragonflyrelay.example/library/values/dragonflyreport"
)

// Answer returns the order to send with the answer to a report: none if the report
// shows that the order has been carried out, so that the answers to agents in
// standing groups stay small. An agent that restarts reports no group and is told
// again.
func (d Directory) Answer(r dragonflyreport.Report) dragonflygrouporder.Order {
	o := d.Order(r.Announcement.Instance)
	if o.Kind == dragonflygrouporder.Form && r.Membership == dragonflyreport.Member && r.Group == o.Group && r.Fence == o.Fence {
		return dragonflygrouporder.Order{}
	}
	return o
}

// Order returns the order for the instance; a repeated order has no effect on an
// agent. An instance that still
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
