package dragonflyforwarder

import (
	"context"
	"expvar"
	"syscall"
	"time"

	"dragonflyrelay.example/library/common/dragonflycontrolreporter"
	"dragonflyrelay.example/library/values/dragonflyendpoint"
	"dragonflyrelay.example/library/values/dragonflyfollowrequest"
	"dragonflyrelay.example/library/values/dragonflypartevent"
	"github.com/pkg/errors"
)

const (
	// lossGatherTime is the time from a loss until it is reported. The other requests of
	// the endpoint are lost within a few milliseconds.
	lossGatherTime = 30 * time.Millisecond
	// reportRetryInterval is the time between two reports to an instance that fails.
	reportRetryInterval = 300 * time.Millisecond
	// maxCrashChecks bounds the checks of lost endpoints at a time.
	maxCrashChecks = 16
)

// crashChecks counts the checks of lost endpoints by outcome.
var crashChecks = expvar.NewMap("dragonfly-forward-crash-checks")

// reportLosses reports losses, and answers to quarantined requests, to all control
// instances at once, until ctx ends. The long poll of followControl would delay them by up
// to followWait, and reaches the leader only: while none is known, the other instances
// answer with what they hold, and one of them is the next leader.
func (s *Server) reportLosses(ctx context.Context) error {
	r := &dragonflycontrolreporter.Reporter{}
	reported := uint64(0)
	delay := lossGatherTime
	for {
		lost := s.parts.lost.Changed()
		if s.parts.latest.Load().Sequence() == reported {
			select {
			case <-lost:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		timer := time.NewTimer(delay)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		w := s.parts.latest.Load()
		delay = reportRetryInterval
		if r.Send(ctx, s.controlAddrs(), w.Sequence(), s.lossReport) {
			reported, delay = w.Sequence(), lossGatherTime
		}
	}
}

// lossReport returns a request with the reports above after. The leader takes it, like each
// request, for the present state of the entry's routing table and streams. Dropped is read
// after the view, so that it is never older than the revision.
func (s *Server) lossReport(after uint64) dragonflyfollowrequest.Request {
	v, w, now := s.view.Load(), s.parts.latest.Load(), s.Clock.Now()
	q := dragonflyfollowrequest.Request{Process: s.Settings.Name, Role: dragonflyfollowrequest.Entry, Version: v.document.Version()}
	q.Term, q.Revision, q.QuarantineRevision, q.LimitsRevision = v.term, v.revision, v.quarantineRevision, v.limitsRevision
	q.Losses, q.Parts, q.Dropped = w.Losses(now, after), w.Parts(now), s.streams.Dropped()
	return q
}

// controlAddrs returns the addresses of the control instances.
func (s *Server) controlAddrs() []string {
	if known := s.parts.control.Load(); len(known) > 0 {
		return known
	}
	return s.Settings.Control
}

// checkCrash connects to an endpoint that a request was lost at. One that refuses the
// connection has crashed; otherwise the connection is kept for another request.
func (d *partsDuty) checkCrash(ctx context.Context, e dragonflyendpoint.Endpoint) {
	err := d.checks.Go(func() {
		err := d.owner.conns.Check(ctx, e)
		switch {
		case isRefused(err):
			crashChecks.Add("refused", 1)
		case err != nil:
			crashChecks.Add("failed", 1)
		default:
			crashChecks.Add("connected", 1)
		}
		d.reportConnect(e, err)
	})
	if err != nil {
		crashChecks.Add("skipped", 1)
	}
}

// reportConnect passes on that an endpoint has refused a connection.
func (d *partsDuty) reportConnect(e dragonflyendpoint.Endpoint, err error) {
	if isRefused(err) {
		_ = d.requests.TryPut(partsRequest{event: dragonflypartevent.Event{Kind: dragonflypartevent.Refused, ID: e.ID, Boot: e.Boot}})
	}
}

func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
