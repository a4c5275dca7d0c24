package dragonflyagentserver

import (
	"context"
	"sync/atomic"
	"time"

	"dragonflyrelay.example/dragonflyagent/commands/dragonflyupstream"
	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflyrpcstream"
	"dragonflyrelay.example/library/values/dragonflyadmissionaction"
	"dragonflyrelay.example/library/values/dragonflyadmissionevent"
	"dragonflyrelay.example/library/values/dragonflyannouncement"
	"dragonflyrelay.example/library/values/dragonflyframe"
	"dragonflyrelay.example/library/values/dragonflyoccurrence"
	"dragonflyrelay.example/library/values/dragonflywork"
	"github.com/pkg/errors"
)

// Reasons for the failure of attempts that the upstream may have run.
const (
	reasonUpstream  = "upstream-failed"
	reasonCancelled = "cancelled"
)

// progressPeriod is the time between reports of a stream's token rate to
// admission.
const progressPeriod = 100 * dragonflyduration.Millisecond

var (
	errGateClosed = errors.New("lease of the group is over")
	nextID        atomic.Uint64
)

// attempt is one piece of work that is carried out for an entry's stream.
type attempt struct {
	s      *Server
	stream *dragonflyrpcstream.Stream
	id     uint64
	work   dragonflywork.Work

	startedAt     dragonflyinstant.Instant
	latestTokenAt dragonflyinstant.Instant // when the latest token arrived
	reportedUntil dragonflyinstant.Instant // end of the period covered by the latest progress report
	tokens        int                      // since reportedUntil
}

// serve handles one stream of an entry: it receives a work request and
// sends the frames of the answer.
func (s *Server) serve(stream *dragonflyrpcstream.Stream) (err error) {
	msg, err := stream.Receive()
	if err != nil {
		return err
	}
	w, err := dragonflycodec.UnmarshalWork(msg)
	if err != nil {
		return err
	}
	if w.ConfigVersion > s.control.Load().Config().Version() {
		_ = s.reportRing.TryPut(struct{}{})
	}
	a := &attempt{s: s, stream: stream, id: nextID.Add(1), work: w}
	ctx := stream.Context()
	decision := make(chan dragonflyadmissionaction.Action, 1)
	in := admitInput{ev: dragonflyadmissionevent.Event{Kind: dragonflyadmissionevent.Offered, ID: a.id, Work: withoutPayload(w)}, decision: decision}
	if s.admitRing.TryPut(in) != nil {
		return a.refuse(dragonflyframe.ReasonOverloaded, 0)
	}
	select {
	case act := <-decision:
		if act.Kind == dragonflyadmissionaction.Refuse {
			return a.refuse(act.Reason, act.RetryAfter)
		}
	case <-ctx.Done():
		a.notifyAdmission(dragonflyadmissionevent.Event{Kind: dragonflyadmissionevent.Cancelled})
		return nil
	}
	defer a.notifyAdmission(dragonflyadmissionevent.Event{Kind: dragonflyadmissionevent.Finished})
	return a.run(ctx)
}

// withoutPayload returns w without the fields that admission does not read.
func withoutPayload(w dragonflywork.Work) dragonflywork.Work {
	w.Prompt, w.Delivered, w.Headers, w.Body = "", nil, nil, nil
	return w
}

// notifyAdmission puts an event of this attempt into the admission ring. It waits
// while the ring is full, since admission would count the request as running
// forever if the event of its end were lost.
func (a *attempt) notifyAdmission(ev dragonflyadmissionevent.Event) {
	ev.ID = a.id
	_ = a.s.admitRing.Put(a.s.runContext, admitInput{ev: ev})
}

// sample passes a measurement to admission and drops it if the ring is full.
func (a *attempt) sample(ev dragonflyadmissionevent.Event) {
	ev.ID = a.id
	_ = a.s.admitRing.TryPut(admitInput{ev: ev})
}

// run sends the admitted work to the upstream and relays the answer.
func (a *attempt) run(ctx context.Context) error {
	if a.work.Deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(a.work.Deadline))
		defer cancel()
	}
	up := a.s.group.Load().Membership().Upstream()
	a.startedAt = a.s.Clock.Now()
	if up.Kind == dragonflyannouncement.Service {
		return a.call(ctx, up)
	}
	return a.complete(ctx, up)
}

func (a *attempt) complete(ctx context.Context, up dragonflyannouncement.Announcement) error {
	if !a.allowed() {
		return a.refuse(dragonflyframe.ReasonNoLease, 0)
	}
	class, _ := a.s.control.Load().Config().Classes().Get(a.work.Class)
	started := func() error { return a.send(dragonflyframe.Frame{Kind: dragonflyframe.Started}) }
	count, err := a.s.upstream.Complete(ctx, up.Address, a.work, class.Priority(), started, a.relayToken)
	switch {
	case errors.Is(err, dragonflyupstream.ErrNotSent):
		return a.refuse(dragonflyframe.ReasonNotReady, 0)
	case err != nil:
		return a.fail(ctx, err)
	case !a.allowed():
		return a.fail(ctx, errGateClosed)
	}
	a.reportProgress(true)
	counters.Add("answers", 1)
	return a.send(dragonflyframe.Frame{Kind: dragonflyframe.Done, Index: count})
}

// allowed reports whether the group's lease permits relaying at this time.
func (a *attempt) allowed() bool {
	return a.s.gate.Load().Allows(a.s.Clock.Now(), a.work.Group, a.work.Fence)
}

// relayToken relays one token to the entry, or returns errGateClosed if the lease
// has expired.
func (a *attempt) relayToken(index int, text string) error {
	if !a.allowed() {
		return errGateClosed
	}
	if err := a.send(dragonflyframe.Frame{Kind: dragonflyframe.Token, Index: index, Text: text}); err != nil {
		return err
	}
	now := a.s.Clock.Now()
	if a.latestTokenAt == 0 {
		a.sample(dragonflyadmissionevent.Event{Kind: dragonflyadmissionevent.FirstToken, Latency: now.Sub(a.startedAt)})
		a.reportedUntil = now
	} else {
		a.tokens++
	}
	a.latestTokenAt = now
	a.reportProgress(false)
	return nil
}

// reportProgress passes the time per token of the stream to admission, at the end
// of the stream or when progressPeriod has passed.
func (a *attempt) reportProgress(end bool) {
	span := a.latestTokenAt.Sub(a.reportedUntil)
	if a.tokens == 0 || !end && span < progressPeriod {
		return
	}
	a.sample(dragonflyadmissionevent.Event{
		Kind: dragonflyadmissionevent.Progressed, Tokens: a.tokens, Latency: span / dragonflyduration.Duration(a.tokens),
	})
	a.reportedUntil, a.tokens = a.latestTokenAt, 0
}

// call forwards a call to a plain service and returns the complete response to
// the entry.
func (a *attempt) call(ctx context.Context, up dragonflyannouncement.Announcement) error {
	svc, _ := a.s.control.Load().Config().Services().Get(a.work.Service)
	r, err := a.s.upstream.Call(ctx, up.Address, a.work, svc.Timeout())
	switch {
	case errors.Is(err, dragonflyupstream.ErrNotSent):
		return a.refuse(dragonflyframe.ReasonNotReady, 0)
	case err != nil:
		return a.fail(ctx, err)
	}
	a.sample(dragonflyadmissionevent.Event{Kind: dragonflyadmissionevent.FirstToken, Latency: a.s.Clock.Now().Sub(a.startedAt)})
	counters.Add("responses", 1)
	return a.send(dragonflyframe.Frame{Kind: dragonflyframe.Response, Status: r.Status, Headers: r.Headers, Body: r.Body})
}

// refuse reports to the entry that the upstream has not seen the work.
func (a *attempt) refuse(reason string, retryAfter dragonflyduration.Duration) error {
	counters.Add("refused-"+reason, 1)
	a.addOccurrence("attempt-refused", reason)
	return a.send(dragonflyframe.Frame{Kind: dragonflyframe.Refused, Reason: reason, RetryAfter: retryAfter})
}

// fail reports to the entry that the upstream may have run the work, but that the
// answer is incomplete.
func (a *attempt) fail(ctx context.Context, err error) error {
	reason := reasonUpstream
	switch {
	case errors.Is(err, errGateClosed):
		reason = dragonflyframe.ReasonNoLease
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = dragonflyframe.ReasonDeadline
	case ctx.Err() != nil:
		reason = reasonCancelled
	}
	counters.Add("failed-"+reason, 1)
	a.addOccurrence("attempt-failed", reason+": "+err.Error())
	if a.stream.Context().Err() != nil {
		return nil
	}
	return a.send(dragonflyframe.Frame{Kind: dragonflyframe.Failed, Reason: reason, MayHaveRun: true})
}

func (a *attempt) addOccurrence(event, detail string) {
	a.s.addOccurrence(dragonflyoccurrence.Occurrence{Event: event, Request: a.work.Request, Group: a.work.Group, Detail: detail})
}

// send sends a frame of this attempt's answer. Token frames carry no load, to keep
// the messages small.
func (a *attempt) send(f dragonflyframe.Frame) error {
	f.Attempt = a.work.Attempt
	if f.Kind != dragonflyframe.Token {
		f.Load = a.s.load.Load()
	}
	msg, err := dragonflycodec.MarshalFrame(f)
	if err != nil {
		return err
	}
	return a.stream.Send(msg)
}
