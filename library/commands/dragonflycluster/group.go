package dragonflycluster

import (
	"fmt"

	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflygroup"
	"dragonflyrelay.example/library/values/dragonflyresult"
)

// formGroup adds a group with a new id and fencing number. It is invalid if an
// instance still belongs to another group.
func (c Cluster) formGroup(ch dragonflychange.Change) (Cluster, dragonflyresult.Result) {
	taken := map[string]uint64{}
	for _, g := range c.groups.All() {
		for _, m := range g.Members {
			taken[m.Instance] = g.ID
		}
	}
	for _, m := range ch.Members {
		if id, ok := taken[m.Instance]; ok {
			return c, c.invalid(fmt.Sprintf("instance %s belongs to group %d", m.Instance, id))
		}
	}
	c.lastGroup++
	c.lastFence++
	g := dragonflygroup.Group{ID: c.lastGroup, Fence: c.lastFence, Model: ch.Model, Members: ch.Members}
	c.groups = c.groups.With(g.ID, g)
	r := c.accepted()
	r.Group, r.Fence = g.ID, g.Fence
	return c, r
}

// dissolveGroup removes a group.
func (c Cluster) dissolveGroup(ch dragonflychange.Change) (Cluster, dragonflyresult.Result) {
	g, ok := c.groups.Get(ch.Group)
	if !ok {
		return c, c.invalid(fmt.Sprintf("group %d does not exist", ch.Group))
	}
	c.groups = c.groups.Without(g.ID)
	r := c.accepted()
	r.Group, r.Fence = g.ID, g.Fence
	return c, r
}
