package dragonflyfleet

import (
	"slices"

	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflydocument"
	"dragonflyrelay.example/library/values/dragonflyendpoint"
	"dragonflyrelay.example/library/values/dragonflyenginegroup"
	"dragonflyrelay.example/library/values/dragonflyfollowresponse"
	"dragonflyrelay.example/library/values/dragonflyobservation"
	"dragonflyrelay.example/library/values/dragonflyserverorder"
)

// Leads reports whether the instance leads, as far as the fleet has been told.
func (f Fleet) Leads() bool { return f.leads }

// Changes rises whenever something has changed that may concern an asker.
func (f Fleet) Changes() uint64 { return f.changes }

// Entries returns the number of entries that follow this instance.
func (f Fleet) Entries() int { return f.entries.Len() }

// Document returns the document that the fleet has been told.
func (f Fleet) Document() dragonflydocument.Document { return f.document }

// WithTable returns n with the routing table, unless the asker has it already.
func (f Fleet) WithTable(n dragonflyfollowresponse.Response, term, revision uint64) dragonflyfollowresponse.Response {
	n.Term, n.Revision = f.term, f.revision
	if term == f.term && revision == f.revision {
		return n
	}
	n.HasTable, n.Endpoints = true, f.endpoints
	return n
}

// Complete reports, for the time now, whether upstreams that have not reported
// to this leader are gone.
func (f Fleet) Complete(now dragonflyinstant.Instant) bool {
	return f.leads && now.Sub(f.ledAt) > CompleteAfter
}

// refreshEndpoints computes the rows of the routing table.
func (s *step) refreshEndpoints() {
	var rows []dragonflyendpoint.Endpoint
	heads := map[string]group{}
	for _, g := range s.groups.All() {
		heads[g.head()] = g
	}
	for id, r := range s.records.All() {
		if row, ok := s.row(id, r, heads); ok {
			rows = append(rows, row)
		}
	}
	if !slices.EqualFunc(rows, s.endpoints, sameRow) {
		s.endpoints = rows
		s.revision++
		s.changes++
	}
}

// sameRow ignores by how much the time left of a cold start has shrunk.
func sameRow(a, b dragonflyendpoint.Endpoint) bool {
	if (a.ColdLeft > 0) == (b.ColdLeft > 0) {
		a.ColdLeft = b.ColdLeft
	}
	return a == b
}

// row returns the row of an upstream that takes requests, or may have taken some
// and leaves.
func (s *step) row(id string, r record, heads map[string]group) (e dragonflyendpoint.Endpoint, ok bool) {
	svc, known := s.document.Services().Get(r.obs.Service)
	if g, leads := heads[id]; leads && g.phase == ending {
		return e, false
	}
	if !known || r.unreachable || r.silent || s.now.Sub(r.heard()) > SilentAfter && !svc.Grouped() {
		return e, false
	}
	e = dragonflyendpoint.Endpoint{
		ID: id, Boot: r.obs.Boot, Address: r.obs.Address, Service: r.obs.Service, Zone: r.obs.Zone,
		Slots: r.obs.Slots, ColdLeft: r.obs.ColdLeft, Leaving: r.obs.State != dragonflyobservation.Ready,
	}
	if !svc.Grouped() {
		return e, true
	}
	g, leads := heads[id]
	if !leads || !g.opened {
		return e, e.Leaving
	}
	e.Model, e.Group, e.Epoch, e.Slots = g.model, g.name, g.epoch, svc.Engine.Slots
	if g.phase == forming && r.obs.Group.State != dragonflyenginegroup.Open {
		return e, e.Leaving
	}
	e.Leaving = e.Leaving || g.phase == closing || g.phase == ending
	return e, true
}

// Order returns what the engine at address is to do, the zero Order if nothing.
func (f Fleet) Order(address string) (o dragonflyserverorder.Order) {
	id, ok := f.addresses.Get(address)
	if !ok || !f.leads {
		return o
	}
	r, _ := f.records.Get(id)
	for _, g := range f.groups.All() {
		if rank := slices.Index(g.members, id); rank >= 0 {
			if o = f.groupOrder(g, r, rank); o.Kind != 0 || g.phase != serving {
				return o
			}
			return f.stageOrder(r)
		}
	}
	if b := r.standby; b.name != "" && r.warm != b.model && !r.obs.Group.Is(b.name, b.epoch) {
		return dragonflyserverorder.Order{
			Kind: dragonflyserverorder.Join, Group: b.name, Epoch: b.epoch, Model: b.model, Members: []string{id}, Fence: f.term,
		}
	}
	return f.stageOrder(r)
}

// stageOrder returns the order to load the weights that the host of r is to hold.
func (f Fleet) stageOrder(r record) (o dragonflyserverorder.Order) {
	if r.stage != "" && !slices.Contains(r.obs.Staged, r.stage) {
		o = dragonflyserverorder.Order{Kind: dragonflyserverorder.Stage, Model: r.stage, Fence: f.term}
	}
	return o
}

func (f Fleet) groupOrder(g group, r record, rank int) (o dragonflyserverorder.Order) {
	o = dragonflyserverorder.Order{Group: g.name, Epoch: g.epoch, Fence: f.term}
	in, state := r.obs.Group.Is(g.name, g.epoch), r.obs.Group.State
	switch {
	case g.phase == forming && !in:
		o.Kind, o.Model, o.Members = dragonflyserverorder.Join, g.model, g.members
	case g.phase == forming && rank == 0 && g.opened && state == dragonflyenginegroup.Ready,
		g.phase == serving && rank == 0 && in && state == dragonflyenginegroup.Ready:
		o.Kind = dragonflyserverorder.Open
	case g.phase == closing && rank == 0 && in && state == dragonflyenginegroup.Open:
		o.Kind = dragonflyserverorder.Close
	case g.phase == ending && rank == 0 && in:
		o.Kind = dragonflyserverorder.Leave
	default:
		return dragonflyserverorder.Order{}
	}
	return o
}
