// Package dragonflyroutetable holds the routes of one leader's term with the
// revision of each route's last change, from which watchers get deltas.
package dragonflyroutetable

import (
	"fmt"

	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflyroute"
	"dragonflyrelay.example/library/values/dragonflytable"
	"dragonflyrelay.example/library/values/dragonflywatch"
)

// MaxTombstones is the number of removed keys that are kept. A watcher that has
// missed more removals gets the complete table.
const MaxTombstones = 4096

// RouteTable is an immutable set of routes. The zero value is empty and belongs
// to no term.
type RouteTable struct {
	term     uint64
	revision uint64
	// floor is the highest revision whose tombstone has been dropped.
	floor  uint64
	routes dragonflymap.Map[string, versioned]
	// changes and removed hold the keys of routes by logKey. A follower applies many
	// changes at one revision, so the revision alone does not identify a change.
	changes, removed dragonflymap.Map[string, versionedKey]
	// tombstones holds the revision of each removed key.
	tombstones dragonflymap.Map[string, uint64]
}

// versioned is a route with the revision of its last change.
type versioned struct {
	route    dragonflyroute.Route
	revision uint64
}

// versionedKey is the key of a route with the revision of its last change or of its
// removal.
type versionedKey struct {
	key      string
	revision uint64
}

// logKey returns a map key that sorts by revision, then by the key of the route.
func logKey(revision uint64, key string) string { return fmt.Sprintf("%016x%s", revision, key) }

// Term returns the leader's term that the revisions belong to.
func (t RouteTable) Term() uint64 { return t.term }

// Revision returns the revision of the latest change.
func (t RouteTable) Revision() uint64 { return t.revision }

// Len returns the number of routes.
func (t RouteTable) Len() int { return t.routes.Len() }

// Route returns the route with the key.
func (t RouteTable) Route(key string) (r dragonflyroute.Route, ok bool) {
	v, ok := t.routes.Get(key)
	return v.route, ok
}

// Routes returns all routes ordered by key.
func (t RouteTable) Routes() []dragonflyroute.Route {
	out := make([]dragonflyroute.Route, 0, t.routes.Len())
	for _, v := range t.routes.All() {
		out = append(out, v.route)
	}
	return out
}

// WithTerm returns the table with the same routes in a new term and no history,
// so that watchers of another term get the complete table.
func (t RouteTable) WithTerm(term uint64) RouteTable {
	next := RouteTable{term: term}
	for _, v := range t.routes.All() {
		next = next.WithRoute(v.route)
	}
	next.floor = next.revision
	return next
}

// WithRoute returns the table with r, which replaces any route with the same
// key, at a new revision.
func (t RouteTable) WithRoute(r dragonflyroute.Route) RouteTable {
	return t.withRouteAt(r, t.revision+1)
}

// WithoutRoute returns the table without the route, at a new revision. It returns
// the table unchanged if there is no such route.
func (t RouteTable) WithoutRoute(key string) RouteTable {
	return t.withoutRouteAt(key, t.revision+1)
}

// WithPulled returns the table after the leader's answer p, with the leader's
// term and revision.
func (t RouteTable) WithPulled(p dragonflytable.Table) RouteTable {
	switch {
	case p.Complete:
		t = RouteTable{term: p.Term, floor: p.Revision}
	case p.Term != t.term || p.Revision < t.revision:
		return t
	}
	for _, r := range p.Routes {
		t = t.withRouteAt(r, p.Revision)
	}
	for _, key := range p.Removed {
		t = t.withoutRouteAt(key, p.Revision)
	}
	t.revision = p.Revision
	return t
}

// Delta returns the changes since the watcher's term and revision, or the
// complete table if these changes are no longer kept. It sets neither the
// configuration nor the confirmation age.
func (t RouteTable) Delta(w dragonflywatch.Watch) dragonflytable.Table {
	out := dragonflytable.Table{Term: t.term, Revision: t.revision}
	if w.Term != t.term || w.Revision < t.floor || w.Revision > t.revision || w.Revision == 0 {
		out.Complete, out.Routes = true, t.Routes()
		return out
	}
	from := logKey(w.Revision+1, "")
	for _, k := range t.changes.From(from) {
		v, _ := t.routes.Get(k.key)
		out.Routes = append(out.Routes, v.route)
	}
	for _, k := range t.removed.From(from) {
		out.Removed = append(out.Removed, k.key)
	}
	return out
}

func (t RouteTable) withRouteAt(r dragonflyroute.Route, revision uint64) RouteTable {
	t = t.withoutLogEntries(r.Key)
	t.revision = max(t.revision, revision)
	t.routes = t.routes.With(r.Key, versioned{r, revision})
	t.changes = t.changes.With(logKey(revision, r.Key), versionedKey{r.Key, revision})
	return t
}

func (t RouteTable) withoutRouteAt(key string, revision uint64) RouteTable {
	if _, ok := t.routes.Get(key); !ok {
		return t
	}
	t = t.withoutLogEntries(key)
	t.revision = max(t.revision, revision)
	t.routes = t.routes.Without(key)
	t.removed = t.removed.With(logKey(revision, key), versionedKey{key, revision})
	t.tombstones = t.tombstones.With(key, revision)
	for t.removed.Len() > MaxTombstones {
		t = t.withoutOldestTombstone()
	}
	return t
}

// withoutLogEntries drops the log entries of the key, so that a delta contains it
// only once.
func (t RouteTable) withoutLogEntries(key string) RouteTable {
	if v, ok := t.routes.Get(key); ok {
		t.changes = t.changes.Without(logKey(v.revision, key))
	}
	if revision, ok := t.tombstones.Get(key); ok {
		t.removed = t.removed.Without(logKey(revision, key))
		t.tombstones = t.tombstones.Without(key)
	}
	return t
}

func (t RouteTable) withoutOldestTombstone() RouteTable {
	for k, v := range t.removed.All() {
		t.removed = t.removed.Without(k)
		t.tombstones = t.tombstones.Without(v.key)
		t.floor = max(t.floor, v.revision)
		break
	}
	return t
}
