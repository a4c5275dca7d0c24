package dragonflyforwarder

import (
	"context"
	"log/slog"

	"dragonflyrelay.example/library/common/dragonflycompression"
	"dragonflyrelay.example/library/common/dragonflycontrolfollower"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflybalanceevent"
	"dragonflyrelay.example/library/values/dragonflycontact"
	"dragonflyrelay.example/library/values/dragonflydocument"
	"dragonflyrelay.example/library/values/dragonflyfollowrequest"
	"dragonflyrelay.example/library/values/dragonflyfollowresponse"
)

// followWait is how long control holds its response back while nothing changes. It
// bounds the age of the entry's last confirmation that control has a leader.
const followWait = 500 * dragonflyduration.Millisecond

// view is what the entry has received from control.
type view struct {
	document  dragonflydocument.Document
	confirmed dragonflyinstant.Instant // latest time at which control surely had a leader, if isConfirmed
	hasTable  bool                     // a routing table with endpoints has been received
	// unreported are the ids of the endpoints of which control has no recent report.
	unreported []string

	// isConfirmed is apart from confirmed, which may lie before the start of this process
	// and its clock.
	isConfirmed bool

	// sequence numbers the responses of leaders that have been applied.
	sequence uint64

	// Versions of the routing table, the quarantine and the limits.
	term, revision, quarantineRevision, limitsRevision uint64
}

// keyLeaseExpired reports whether control has not confirmed its leadership for so long
// that keys may have been revoked.
func (s *Server) keyLeaseExpired(v view) bool {
	return s.Settings.KeyLease > 0 && (!v.isConfirmed || s.Clock.Now().Sub(v.confirmed) > s.Settings.KeyLease)
}

// followControl requests changes from control until ctx ends.
func (s *Server) followControl(ctx context.Context) error {
	f := &dragonflycontrolfollower.Follower{Seeds: s.Settings.Control, Reseed: s.Reseed, NotLeading: s.parts.receiveUnlisted}
	q := dragonflyfollowrequest.Request{Process: s.Settings.Name, Role: dragonflyfollowrequest.Entry, Wait: followWait}
	// Numbers of the latest report on parts, limit and leaving endpoint that the leader knows,
	// and whether it is another one than before.
	parts, limits, leaving, isNew := partsReport{}, uint64(0), uint64(0), true
	var sent dragonflyinstant.Instant // the latest request
	var partsSequence partsReport
	var limitSequence, leavingSequence uint64
	// Each attempt sends the present state: the leader that takes it may be found long after
	// the first one, and takes ages for those at its arrival.
	request := func() dragonflyfollowrequest.Request {
		sent = s.Clock.Now()
		q, partsSequence = s.parts.withReport(q, parts)
		q, limitSequence = s.balance.withLimits(q, limits, isNew)
		q, leavingSequence = s.balance.withSignals(q, leaving, isNew)
		q.Dropped, q.Contacts = s.streams.Dropped(), s.contacts()
		q.Demands = s.demand.latest.Load().Demands(sent)
		return q
	}
	f.Renew = request
	for {
		n, err := f.Follow(ctx, request())
		if err != nil {
			return err
		}
		// The quarantine goes first: an entry that starts is ready with its first table.
		if err := s.parts.receive(ctx, sent, n); err != nil {
			return err
		}
		if err := s.applyResponse(ctx, sent, n); err != nil {
			return err
		}
		if err := s.balance.receiveLimits(ctx, sent, n); err != nil {
			return err
		}
		if err := s.balance.receiveAdmissions(ctx, n); err != nil {
			return err
		}
		// Released requests find the limits of this response in force.
		if err := s.waiting.receive(ctx, n); err != nil {
			return err
		}
		parts, limits, leaving = partsSequence, limitSequence, leavingSequence
		if isNew = n.Term != q.Term; isNew {
			parts = partsReport{}
		}
		q.Version, q.Term, q.Revision = s.view.Load().document.Version(), n.Term, n.Revision
		q.QuarantineRevision, q.LimitsRevision = n.QuarantineRevision, n.LimitsRevision
	}
}

// contacts returns the latest answers of the endpoints of which control has no recent report.
func (s *Server) contacts() []dragonflycontact.Contact {
	return s.streams.Contacts(s.Clock.Now(), s.view.Load().unreported)
}

// applyResponse applies control's response to the request that was sent at sent.
func (s *Server) applyResponse(ctx context.Context, sent dragonflyinstant.Instant, n dragonflyfollowresponse.Response) error {
	v := s.view.Load()
	if n.Version > v.document.Version() && n.Content != nil {
		content, err := dragonflycompression.Decompress(n.Content)
		if err != nil {
			slog.Error("document cannot be unpacked", "version", n.Version, "error", err)
			return err
		}
		d, err := s.Decode(content)
		if err != nil {
			slog.Error("document cannot be read", "version", n.Version, "error", err)
			return err
		}
		v.document = d.WithVersion(n.Version)
		slog.Info("document in force", "version", n.Version, "term", n.Term)
	}
	documentEvent := dragonflybalanceevent.Event{
		Kind: dragonflybalanceevent.DocumentReceived, Document: v.document, OutZones: n.OutZones,
		Entries: n.Entries, Complete: n.Complete,
	}
	if err := s.balance.put(ctx, documentEvent); err != nil {
		return err
	}
	if n.HasTable {
		ids := map[string]bool{}
		v.unreported = nil
		for _, e := range n.Endpoints {
			ids[e.ID] = true
			if e.Unreported {
				v.unreported = append(v.unreported, e.ID)
			}
		}
		// The watch knows new endpoints before any is chosen, and lacks others only once none
		// of them is chosen any more.
		s.streams.SetTable(s.Clock.Now(), ids, false)
		tableEvent := dragonflybalanceevent.Event{Kind: dragonflybalanceevent.TableReceived, Endpoints: n.Endpoints, Complete: n.Complete}
		if err := s.balance.put(ctx, tableEvent); err != nil {
			return err
		}
		if n.Complete {
			s.conns.Sweep(n.Endpoints)
		}
		for id, count := range s.streams.SetTable(s.Clock.Now(), ids, n.Complete) {
			slog.Warn("endpoint is not in the routing table", "endpoint", id, "streams", count, "revision", n.Revision)
		}
		slog.Info("routing table", "term", n.Term, "revision", n.Revision, "endpoints", len(n.Endpoints),
			"complete", n.Complete, "out-zones", n.OutZones)
		v.hasTable = v.hasTable || len(n.Endpoints) > 0
	}
	// Control responded after sent, so that its quorum was confirmed at sent minus the
	// age or later.
	if at := sent.Add(-n.Age); !v.isConfirmed || at.After(v.confirmed) {
		v.confirmed, v.isConfirmed = at, true
	}
	v.term, v.revision, v.quarantineRevision, v.limitsRevision = n.Term, n.Revision, n.QuarantineRevision, n.LimitsRevision
	v.sequence++
	s.view.Store(v)
	if n.HasTable {
		s.tableChanged.Fire()
	}
	return nil
}
