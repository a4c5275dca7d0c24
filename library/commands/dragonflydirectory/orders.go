package dragonflydirectory

import (
	"dragonflyrelay.example/library/values/dragonflygrouporder"
	"dragonflyrelay.example/library/values/dragonflyreport"
)

// PendingOrder returns the order to send in response to a report. It returns
// none if the report shows that the order has been carried out, so that
// responses to members of existing groups stay small. A restarted agent reports
// no group and receives the order again.
func (d Directory) PendingOrder(r dragonflyreport.Report) dragonflygrouporder.Order {
	o := d.Order(r.Announcement.Instance)
	if o.Kind == dragonflygrouporder.Form && r.Membership == dragonflyreport.Member && r.Group == o.Group && r.Fence == o.Fence {
		return dragonflygrouporder.Order{}
	}
	return o
}

// Order returns the order for the instance. Orders are idempotent. An instance
// that still belongs to a group that the replicated state has removed is ordered
// to dissolve it, unless the fencing number of the group is higher than all
// known ones: the group may then be newer than the state of this control
// instance.
func (d Directory) Order(instance string) dragonflygrouporder.Order {
	if id, ok := d.groupOf.Get(instance); ok {
		rec, _ := d.groups.Get(id)
		g := rec.group
		return dragonflygrouporder.Order{Kind: dragonflygrouporder.Form, Group: g.ID, Fence: g.Fence, Model: g.Model, Members: g.Members}
	}
	ir, ok := d.reports.Get(instance)
	if !ok || ir.report.Group == 0 || ir.report.Fence > d.highestFence {
		return dragonflygrouporder.Order{}
	}
	return dragonflygrouporder.Order{Kind: dragonflygrouporder.Dissolve, Group: ir.report.Group, Fence: ir.report.Fence}
}
