package dragonflyfleet

import (
	"slices"

	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflydocument"
	"dragonflyrelay.example/library/values/dragonflyendpoint"
	"dragonflyrelay.example/library/values/dragonflyenginegroup"
	"dragonflyrelay.example/library/values/dragonflyfollowresponse"
	"dragonflyrelay.example/library/values/dragonflyobservation"
	"dragonflyrelay.example/library/values/dragonflyquarantinedpart"
	"dragonflyrelay.example/library/values/dragonflyserverorder"
)

// Leads reports whether this instance is the leader, by the latest event handled.
func (f Fleet) Leads() bool { return f.leads }

// Term returns the consensus term in which this instance leads, 0 if it does not.
func (f Fleet) Term() uint64 { return f.term }

// ChangeCount returns the count of the changes that may alter the response to an
// entry that follows this instance. It never decreases.
func (f Fleet) ChangeCount() uint64 { return f.changes }

// OrderChanges returns the addresses of the engines whose order the latest event may
// have changed. An address may occur more than once. A change of leadership, which
// concerns all engines, shows in Leads instead.
func (f Fleet) OrderChanges() []string { return f.orderChanges }

// Entries returns the number of entries that follow this instance. On the leader,
// those whose latest request is older than SilentAfter do not count.
func (f Fleet) Entries() int { return f.entriesAskedAt.Len() }

// Document returns the latest routing document.
func (f Fleet) Document() dragonflydocument.Document { return f.document }

// WithTable returns n with the current term and revision, and with the routing table
// unless the caller already has the one of that term and revision.
func (f Fleet) WithTable(n dragonflyfollowresponse.Response, term, revision uint64) dragonflyfollowresponse.Response {
	n.Term, n.Revision = f.term, f.revision
	if term == f.term && revision == f.revision {
		return n
	}
	n.HasTable, n.Endpoints = true, f.endpoints
	return n
}

// WithQuarantine returns n with the quarantined parts of prompts as the entry process is
// to see them, unless it already has those of the term and revision.
func (f Fleet) WithQuarantine(now dragonflyinstant.Instant, n dragonflyfollowresponse.Response, process string, term, revision uint64) dragonflyfollowresponse.Response {
	n.QuarantineRevision = f.quarantine.Revision()
	if term == f.term && revision == n.QuarantineRevision {
		return n
	}
	n.HasQuarantine, n.Quarantine = true, f.quarantine.Parts(now, process)
	if ids, listed := f.quarantine.Watched(); term != f.term || revision < listed {
		n.HasWatched, n.Watched = true, ids
	}
	return n
}

// Quarantined returns the quarantined parts of prompts and requests, without permissions.
func (f Fleet) Quarantined(now dragonflyinstant.Instant) []dragonflyquarantinedpart.Part {
	return f.quarantine.Parts(now, "")
}

// AllReported reports whether, at now, every live upstream has had time to report to
// this leader, so that one that has not reported is gone.
func (f Fleet) AllReported(now dragonflyinstant.Instant) bool {
	return f.leads && now.Sub(max(f.leaderSince, f.resumedAt)) > ReportWindow
}

// noteComplete makes entries receive the table again once all upstreams have reported: only
// then do they drop what it lacks.
func (s *step) noteComplete() {
	if !s.complete && s.AllReported(s.now) {
		s.complete = true
		s.revision++
		s.changes++
	}
}

// refreshEndpoints recomputes the rows of the routing table, and increments its
// revision if they differ.
func (s *step) refreshEndpoints() {
	var rows []dragonflyendpoint.Endpoint
	heads := map[string]group{}
	for _, g := range s.groups.All() {
		heads[g.head()] = g
	}
	for id, u := range s.upstreams.All() {
		if row, ok := s.row(id, u, heads); ok {
			rows = append(rows, row)
		}
	}
	if !slices.EqualFunc(rows, s.endpoints, sameRow) {
		s.endpoints = rows
		s.revision++
		s.changes++
	}
}

// sameRow reports whether a and b are equal but for how much time is left of a cold
// start.
func sameRow(a, b dragonflyendpoint.Endpoint) bool {
	if (a.ColdLeft > 0) == (b.ColdLeft > 0) {
		a.ColdLeft = b.ColdLeft
	}
	return a == b
}

// row returns the routing table row of an upstream that takes requests, or that takes no
// new ones and may still have some in progress. Only upstreams that cannot be reached, and
// heads that are ordered to leave and can do so, have no row: entries end the streams of
// those. The map heads contains the groups by the id of their head.
func (s *step) row(id string, u upstream, heads map[string]group) (e dragonflyendpoint.Endpoint, ok bool) {
	svc, known := s.document.Services().Get(u.obs.Service)
	g, isHead := heads[id]
	if isHead && g.phase == ending && !u.silent || u.unreachable && (!isHead || s.isDown(u)) {
		return e, false
	}
	e = dragonflyendpoint.Endpoint{
		ID: id, Boot: u.obs.Boot, Address: u.obs.Address, Service: u.obs.Service, Zone: u.obs.Zone,
		Slots: u.obs.Slots, ColdLeft: u.obs.ColdLeft, Leaving: u.obs.State != dragonflyobservation.Ready, Silent: u.silent,
	}
	isEngine := svc.Grouped() || !known && u.agentReportAt != 0
	if !isEngine {
		// No route leads to a service that the document does not name. Its upstreams are not
		// marked as leaving: entries keep that mark while a new leader's table is incomplete.
		e.Leaving = e.Leaving || s.now.Sub(u.lastReportAt()) > SilentAfter
		return e, true
	}
	if !isHead || !g.mayBeOpen {
		return e, e.Leaving
	}
	e.Model, e.Group, e.Epoch = g.model, g.name, g.epoch
	if known {
		e.Slots = svc.Engine.Slots
	}
	if g.phase == forming && u.obs.Group.State != dragonflyenginegroup.Open {
		return e, e.Leaving
	}
	e.Leaving = e.Leaving || !known || g.phase >= closing
	e.Silent = s.silentMember(g) || g.phase == headLost || u.unreachable
	e.Unreported = u.unreachable || s.silence(u.lastReportAt()) > SilentAfter
	return e, true
}

// silentMember reports whether a member of the group is silent, so that its requests may
// have to wait.
func (s *step) silentMember(g group) bool {
	return slices.ContainsFunc(g.members, func(id string) bool {
		u, _ := s.upstreams.Get(id)
		return u.silent
	})
}

// Order returns the current order to the engine at address, the zero Order if there
// is none.
func (f Fleet) Order(address string) (o dragonflyserverorder.Order) {
	id, ok := f.addresses.Get(address)
	if !ok || !f.leads {
		return o
	}
	u, _ := f.upstreams.Get(id)
	if o = f.upstreamOrder(id, u); o.Kind != 0 && u.agentReportAt != 0 {
		o.Expected, o.HasExpected = u.obs.Orders, true
	}
	return o
}

// upstreamOrder returns the order to the engine of u.
func (f Fleet) upstreamOrder(id string, u upstream) (o dragonflyserverorder.Order) {
	if name, grouped := f.memberOf.Get(id); grouped {
		g, _ := f.groups.Get(name)
		if o = f.groupOrder(g, u, slices.Index(g.members, id)); o.Kind != 0 || g.phase != serving {
			return o
		}
		return f.stageOrder(u)
	}
	if g := u.obs.Group; f.isEnded(g) {
		return dragonflyserverorder.Order{Kind: dragonflyserverorder.Leave, Group: g.Name, Epoch: g.Epoch, Fence: f.term}
	}
	if b := u.standby; b.name != "" && u.warmModel != b.model && !u.obs.Group.Is(b.name, b.epoch) {
		return dragonflyserverorder.Order{
			Kind: dragonflyserverorder.Join, Group: b.name, Epoch: b.epoch, Model: b.model, Members: []string{id}, Fence: f.term,
		}
	}
	return f.stageOrder(u)
}

// isEnded reports whether g is a membership in a group that was ended. Its engine leaves before
// it joins another one, so that a head that is at work after all is known to lack a member.
func (f Fleet) isEnded(g dragonflyenginegroup.Group) bool {
	_, ended := f.endedGroups.Get(g.Name)
	return ended && g.State != dragonflyenginegroup.None
}

// stageOrder returns the order to load the weights planned for u to the machine that
// it runs on, the zero Order if none are planned or the machine holds them.
func (f Fleet) stageOrder(u upstream) (o dragonflyserverorder.Order) {
	if u.stageModel != "" && !slices.Contains(u.obs.Staged, u.stageModel) {
		o = dragonflyserverorder.Order{Kind: dragonflyserverorder.Stage, Model: u.stageModel, Fence: f.term}
	}
	return o
}

func (f Fleet) groupOrder(g group, u upstream, rank int) (o dragonflyserverorder.Order) {
	o = dragonflyserverorder.Order{Group: g.name, Epoch: g.epoch, Fence: f.term}
	in, state := u.obs.Group.Is(g.name, g.epoch), u.obs.Group.State
	switch {
	case g.phase == forming && hasJoinedLate(g, u):
		// Only one that has left can join: a later leader may open the group that it is in.
		o.Kind, o.Group, o.Epoch = dragonflyserverorder.Leave, u.obs.Group.Name, u.obs.Group.Epoch
	case g.phase == forming && !in:
		o.Kind, o.Model, o.Members = dragonflyserverorder.Join, g.model, g.members
	case g.phase == forming && rank == 0 && g.membersReady && state == dragonflyenginegroup.Ready,
		g.phase == serving && rank == 0 && in && state == dragonflyenginegroup.Ready:
		o.Kind = dragonflyserverorder.Open
	case g.phase == closing && rank == 0 && in && state == dragonflyenginegroup.Open:
		o.Kind = dragonflyserverorder.Close
	case g.phase == ending && (rank == 0 || g.withdrawn) && in:
		o.Kind = dragonflyserverorder.Leave
	default:
		return dragonflyserverorder.Order{}
	}
	return o
}
