package dragonflycluster

import (
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyresult"
)

// Document returns the version and the content of the routing document in
// force, 0 and nil if there is none. Callers must not modify the content.
func (c Cluster) Document() (version uint64, content []byte) { return c.documentVersion, c.document }

// OutZones returns the sorted names of the zones that are out of service.
func (c Cluster) OutZones() []string {
	var zones []string
	for z := range c.outZones.All() {
		zones = append(zones, z)
	}
	return zones
}

// applyUnversioned applies an operator's change that is not based on a version:
// the document with the highest version wins regardless of the order of arrival,
// and the last change of a zone wins. A document that is not newer has no effect
// but is accepted, so that a retry is acknowledged again.
func (c Cluster) applyUnversioned(ch dragonflychange.Change) (Cluster, dragonflyresult.Result) {
	switch ch.Kind {
	case dragonflychange.StoreDocument:
		if ch.Version > c.documentVersion {
			c.documentVersion, c.document = ch.Version, ch.Content
		}
	case dragonflychange.TakeOutZone:
		c.outZones = c.outZones.With(ch.ZoneName, true)
	case dragonflychange.ReturnZone:
		c.outZones = c.outZones.Without(ch.ZoneName)
	}
	return c, c.accepted()
}
