package dragonflycluster

import (
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyresult"
)

// Document returns the version and the content of the routing document in
// force, 0 and nil if there is none. Callers must not write the content.
func (c Cluster) Document() (version uint64, content []byte) { return c.version, c.content }

// OutZones returns the zones that are taken out, in order.
func (c Cluster) OutZones() []string {
	var zones []string
	for z := range c.outZones.All() {
		zones = append(zones, z)
	}
	return zones
}

// state makes an operator's statement. Statements name no base: the highest
// document wins, whatever the order of arrival, and a zone is as it was last
// stated. A document that is not newer changes nothing and is accepted, so that
// one that is sent again is acknowledged again.
func (c Cluster) state(ch dragonflychange.Change) (Cluster, dragonflyresult.Result) {
	switch ch.Kind {
	case dragonflychange.StoreDocument:
		if ch.Version > c.version {
			c.version, c.content = ch.Version, ch.Content
		}
	case dragonflychange.TakeOutZone:
		c.outZones = c.outZones.With(ch.ZoneName, true)
	case dragonflychange.TakeInZone:
		c.outZones = c.outZones.Without(ch.ZoneName)
	}
	return c, c.accepted()
}
