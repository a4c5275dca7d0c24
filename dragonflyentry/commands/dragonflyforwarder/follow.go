package dragonflyforwarder

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"dragonflyrelay.example/library/common/dragonflycompression"
	"dragonflyrelay.example/library/common/dragonflycontrolfollower"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflybalanceevent"
	"dragonflyrelay.example/library/values/dragonflydocument"
	"dragonflyrelay.example/library/values/dragonflyendpoint"
	"dragonflyrelay.example/library/values/dragonflyfollowrequest"
	"dragonflyrelay.example/library/values/dragonflyfollowresponse"
	"dragonflyrelay.example/library/values/dragonflypartevent"
)

// followWait is how long control holds its response back while nothing changes. It
// bounds the age of the entry's last confirmation that control has a leader.
const followWait = 500 * dragonflyduration.Millisecond

// view is what the entry has received from control.
type view struct {
	document  dragonflydocument.Document
	confirmed dragonflyinstant.Instant // latest time at which control surely had a leader
	hasTable  bool                     // a routing table with endpoints has been received

	// Versions of the routing table, the quarantine and the limits.
	term, revision, quarantineRevision, limitsRevision uint64
}

// keyLeaseExpired reports whether control has not confirmed its leadership for so long
// that keys may have been revoked.
func (s *Server) keyLeaseExpired(v view) bool {
	return s.Settings.KeyLease > 0 && s.Clock.Now().Sub(v.confirmed) > s.Settings.KeyLease
}

// followControl requests changes from control until ctx ends.
func (s *Server) followControl(ctx context.Context) error {
	f := &dragonflycontrolfollower.Follower{Seeds: s.Settings.Control, Reseed: s.Reseed}
	q := dragonflyfollowrequest.Request{Process: s.Settings.Name, Role: dragonflyfollowrequest.Entry, Wait: followWait}
	// Numbers of the latest loss, limit and leaving endpoint that the leader knows, and
	// whether it is another one than before.
	losses, limits, leaving, isNew := uint64(0), uint64(0), uint64(0), true
	for {
		sent, lossSequence, limitSequence, leavingSequence := s.Clock.Now(), uint64(0), uint64(0), uint64(0)
		q, lossSequence = s.parts.withReport(q, losses)
		q, limitSequence = s.balance.withLimits(q, limits, isNew)
		q, leavingSequence = s.balance.withSignals(q, leaving, isNew)
		n, err := f.Follow(ctx, q)
		if err != nil {
			return err
		}
		// The quarantine goes first: an entry that starts is ready with its first table.
		if err := s.parts.receive(ctx, dragonflypartevent.Event{AskedAt: sent}, n); err != nil {
			return err
		}
		if err := s.applyResponse(ctx, sent, n); err != nil {
			return err
		}
		if err := s.balance.receiveLimits(ctx, sent, n); err != nil {
			return err
		}
		losses, limits, leaving = lossSequence, limitSequence, leavingSequence
		if isNew = n.Term != q.Term; isNew {
			losses = 0
		}
		q.Version, q.Term, q.Revision = s.view.Load().document.Version(), n.Term, n.Revision
		q.QuarantineRevision, q.LimitsRevision = n.QuarantineRevision, n.LimitsRevision
	}
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
		tableEvent := dragonflybalanceevent.Event{Kind: dragonflybalanceevent.TableReceived, Endpoints: n.Endpoints, Complete: n.Complete}
		if err := s.balance.put(ctx, tableEvent); err != nil {
			return err
		}
		if n.Complete {
			s.conns.Sweep(n.Endpoints)
			s.streams.AbortExcept(func(id string) bool { return containsEndpoint(n.Endpoints, id) })
		}
		slog.Info("routing table", "term", n.Term, "revision", n.Revision, "endpoints", len(n.Endpoints),
			"complete", n.Complete, "out-zones", n.OutZones)
		v.hasTable = v.hasTable || len(n.Endpoints) > 0
	}
	// Control responded after sent, so that its quorum was confirmed at sent minus the
	// age or later.
	v.confirmed = max(v.confirmed, sent.Add(-n.Age))
	v.term, v.revision, v.quarantineRevision, v.limitsRevision = n.Term, n.Revision, n.QuarantineRevision, n.LimitsRevision
	s.view.Store(v)
	if n.HasTable {
		s.tableChanged.Fire()
	}
	return nil
}

// containsEndpoint reports whether the endpoint id is among endpoints.
func containsEndpoint(endpoints []dragonflyendpoint.Endpoint, id string) bool {
	return slices.ContainsFunc(endpoints, func(e dragonflyendpoint.Endpoint) bool { return e.ID == id })
}

// silenceCheckInterval is the time between two checks for endpoints that have stopped.
// It adds to the gap that callers see in their streams.
const silenceCheckInterval = 40 * time.Millisecond

// watchSilence aborts the streams of endpoints that have stopped and reports the speeds
// of endpoints to the balance duty, until ctx ends.
func (s *Server) watchSilence(ctx context.Context) error {
	ticker := time.NewTicker(silenceCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			for _, id := range s.streams.AbortStopped(s.Clock.Now()) {
				slog.Warn("endpoint has stopped", "endpoint", id)
			}
			if err := s.balance.put(ctx, dragonflybalanceevent.Event{
				Kind: dragonflybalanceevent.Measured, Speeds: s.streams.Speeds(s.Clock.Now()),
			}); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
