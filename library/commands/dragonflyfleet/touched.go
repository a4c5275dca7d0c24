package dragonflyfleet

import (
	"slices"
	"strings"

	"dragonflyrelay.example/library/values/dragonflyendpoint"
	"dragonflyrelay.example/library/values/dragonflyenginegroup"
)

// A group that forms changes the status of each of its engines several times. A pass over all
// groups and upstreams for each change costs time that grows with the square of their number:
// the leader of some hundred engines fell behind by seconds while they joined, and ended the
// groups whose reports were waiting.

// advanceTouched advances the group of the upstream whose status has changed. If the change
// concerns anything else, all groups are due; a tick advances them in any case.
func (s *step) advanceTouched() {
	if s.touched == "" || s.changed {
		return
	}
	u, _ := s.upstreams.Get(s.touched)
	name, _ := s.memberOf.Get(s.touched)
	if isGrouped(u) && u.obs.Group.Name != name {
		s.changed = true // The group may have to be adopted, or the upstream to be added to it.
		return
	}
	g, grouped := s.groups.Get(name)
	if grouped {
		s.advance(g)
		g, grouped = s.groups.Get(name)
	}
	heads := map[string]group{}
	if grouped {
		heads[g.head()] = g
	}
	s.changed = s.changed || s.rowDiffers(s.touched, heads) || grouped && s.rowDiffers(g.head(), heads)
}

// isGrouped reports whether the engine of u is in a group that may serve requests.
func isGrouped(u upstream) bool {
	return u.obs.Group.State != dragonflyenginegroup.None && !strings.HasPrefix(u.obs.Group.Name, standbyPrefix)
}

// rowDiffers reports whether the routing table lacks the row of the upstream id, has one too many,
// or another one.
func (s *step) rowDiffers(id string, heads map[string]group) bool {
	u, known := s.upstreams.Get(id)
	row, ok := s.row(id, u, heads)
	i, found := slices.BinarySearchFunc(s.endpoints, id, func(e dragonflyendpoint.Endpoint, id string) int {
		return strings.Compare(e.ID, id)
	})
	return known && (ok != found || ok && !sameRow(row, s.endpoints[i]))
}
