// Package dragonflytablemirror keeps a follower's copy of the leader's table of
// routes, so that entries can watch any control instance.
package dragonflytablemirror

import (
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflyroute"
	"dragonflyrelay.example/library/values/dragonflytable"
	"dragonflyrelay.example/library/values/dragonflywatch"
)

// MaxRemoved bounds the removed routes that are remembered. An entry that last
// asked before the oldest of them gets the whole table.
const MaxRemoved = 1024

// version is a route with the revision at which this copy learned it. The leader
// may have changed it a little earlier, so an entry can get it twice.
type version struct {
	route    dragonflyroute.Route
	revision uint64
}

// Mirror is a copy of the leader's table. The zero value knows no table.
type Mirror struct {
	term, revision uint64
	floor          uint64 // revision up to which removals are forgotten
	routes         dragonflymap.Map[string, version]
	removed        dragonflymap.Map[string, uint64]
}

// Watch returns the question for changes since the copy.
func (m Mirror) Watch() dragonflywatch.Watch {
	return dragonflywatch.Watch{Term: m.term, Revision: m.revision}
}

// Routes returns a copy of the routes by key.
func (m Mirror) Routes() []dragonflyroute.Route {
	var routes []dragonflyroute.Route
	for _, v := range m.routes.All() {
		routes = append(routes, v.route)
	}
	return routes
}

// With returns the copy after the leader's answer t. An answer that does not
// follow the copy is ignored.
func (m Mirror) With(t dragonflytable.Table) Mirror {
	if t.Complete {
		m = Mirror{term: t.Term, revision: t.Revision, floor: t.Revision}
	} else if t.Term != m.term || t.Revision < m.revision {
		return m
	}
	m.revision = t.Revision
	for _, r := range t.Routes {
		m.routes = m.routes.With(r.Key, version{r, t.Revision})
		m.removed = m.removed.Without(r.Key)
	}
	for _, key := range t.Removed {
		m.routes = m.routes.Without(key)
		m.removed = m.removed.With(key, t.Revision)
	}
	if m.removed.Len() > MaxRemoved {
		m.removed, m.floor = dragonflymap.Map[string, uint64]{}, t.Revision
	}
	return m
}

// Table answers an entry's watch. An entry that knows a newer table than this
// copy, from another control instance, keeps it.
func (m Mirror) Table(w dragonflywatch.Watch) dragonflytable.Table {
	if m.term < w.Term || m.term == w.Term && m.revision <= w.Revision {
		return dragonflytable.Table{Term: w.Term, Revision: w.Revision}
	}
	t := dragonflytable.Table{Term: m.term, Revision: m.revision}
	t.Complete = w.Term != m.term || w.Revision < m.floor
	for _, v := range m.routes.All() {
		if t.Complete || v.revision > w.Revision {
			t.Routes = append(t.Routes, v.route)
		}
	}
	for key, revision := range m.removed.All() {
		if !t.Complete && revision > w.Revision {
			t.Removed = append(t.Removed, key)
		}
	}
	return t
}
