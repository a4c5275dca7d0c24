package dragonflyforwarder

import (
	"context"
	"log/slog"
	"net/http"

	"dragonflyrelay.example/library/commands/dragonflypartwatch"
	"dragonflyrelay.example/library/common/dragonflybroadcast"
	"dragonflyrelay.example/library/common/dragonflyfingerprint"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflylatest"
	"dragonflyrelay.example/library/common/dragonflypool"
	"dragonflyrelay.example/library/common/dragonflyring"
	"dragonflyrelay.example/library/values/dragonflychoice"
	"dragonflyrelay.example/library/values/dragonflyendpoint"
	"dragonflyrelay.example/library/values/dragonflyfollowrequest"
	"dragonflyrelay.example/library/values/dragonflyfollowresponse"
	"dragonflyrelay.example/library/values/dragonflypartevent"
	"dragonflyrelay.example/library/values/dragonflypartverdict"
)

// partsRingSize is enough for the answers and losses of a burst of requests.
const partsRingSize = 1024

// answeredEvents is the number of reads with events after which an engine counts as
// answering a request. A request that crashes its engine may get one event first.
const answeredEvents = 2

// partsRequest is an event for the core of prompt parts. Reply is set for Admit, and
// endpoint for Lost.
type partsRequest struct {
	event    dragonflypartevent.Event
	endpoint dragonflyendpoint.Endpoint
	reply    chan<- dragonflypartverdict.Verdict
}

// partsDuty owns the core of prompt parts and is its only user.
type partsDuty struct {
	requests *dragonflyring.Ring[partsRequest]
	owner    *Server
	state    dragonflypartwatch.Watch
	latest   dragonflylatest.Latest[dragonflypartwatch.Watch]
	lost     dragonflybroadcast.Broadcast // fires when there is something to report
	control  dragonflylatest.Latest[[]string]
	checks   dragonflypool.Pool // connects to endpoints that were lost
}

func newPartsDuty(s *Server) *partsDuty {
	d := &partsDuty{requests: dragonflyring.New[partsRequest]("parts", partsRingSize), owner: s}
	d.checks.Name, d.checks.Size = "crash-checks", maxCrashChecks
	return d
}

// Run processes requests until ctx ends.
func (d *partsDuty) Run(ctx context.Context) error {
	for {
		r, err := d.requests.Take(ctx)
		if err != nil {
			return err
		}
		verdict := d.handle(r.event)
		if r.reply != nil {
			r.reply <- verdict
		}
		if verdict.Check {
			d.checkCrash(ctx, r.endpoint)
		}
	}
}

// handle passes ev to the core. An event that panics is dropped, and the request of a
// dropped Admit is admitted.
func (d *partsDuty) handle(ev dragonflypartevent.Event) (v dragonflypartverdict.Verdict) {
	defer func() {
		if p := recover(); p != nil {
			panics.Add(1)
			slog.Error("event of prompt parts dropped, it panicked", "panic", p)
			v = dragonflypartverdict.Verdict{}
		}
	}()
	next, v := d.state.Step(d.owner.Clock.Now(), ev)
	reports := next.Sequence() != d.state.Sequence()
	d.state = next
	d.latest.Store(next)
	if reports {
		d.lost.Fire()
	}
	return v
}

// put passes on an event. A full ring drops those of answers and losses, since they must
// not delay the requests.
func (d *partsDuty) put(ev dragonflypartevent.Event) {
	if len(ev.Parts) > 0 {
		_ = d.requests.TryPut(partsRequest{event: ev})
	}
}

// admit decides whether a request with the given parts may be sent.
func (d *partsDuty) admit(ctx context.Context, parts []string) (v dragonflypartverdict.Verdict, err error) {
	if !d.latest.Load().Quarantines(parts) {
		return v, nil
	}
	reply := make(chan dragonflypartverdict.Verdict, 1)
	ev := dragonflypartevent.Event{Kind: dragonflypartevent.Admit, Parts: parts}
	if err := d.requests.Put(ctx, partsRequest{event: ev, reply: reply}); err != nil {
		return v, err
	}
	select {
	case v = <-reply:
		return v, nil
	case <-ctx.Done():
		return v, ctx.Err()
	}
}

// partsReport holds the numbers of the latest loss and answer that a request reports.
type partsReport struct{ losses, answers uint64 }

// withReport returns q with what the entry has seen of prompt parts, of the losses and answers
// those after reported.
func (d *partsDuty) withReport(q dragonflyfollowrequest.Request, reported partsReport) (next dragonflyfollowrequest.Request, latest partsReport) {
	w, now := d.latest.Load(), d.owner.Clock.Now()
	q.Losses, q.Parts, q.Quarantine = w.Losses(now, reported.losses), append(w.Parts(now), w.Answers(now, reported.answers)...), w.Quarantine(now)
	return q, partsReport{losses: w.Sequence(), answers: w.AnswerSequence()}
}

// receive applies the quarantine of the leader's response n.
func (d *partsDuty) receive(ctx context.Context, asked dragonflyinstant.Instant, n dragonflyfollowresponse.Response) error {
	d.control.Store(n.Control)
	ev := dragonflypartevent.Event{Kind: dragonflypartevent.Confirmed}
	if n.HasQuarantine {
		if before := d.latest.Load().Quarantine(0); len(before)+len(n.Quarantine) > 0 {
			slog.Info("quarantine", "term", n.Term, "revision", n.QuarantineRevision, "keys", len(n.Quarantine))
		}
		ev = dragonflypartevent.Event{Kind: dragonflypartevent.Received, AskedAt: asked, Quarantine: n.Quarantine, HasWatched: n.HasWatched, Watched: n.Watched}
	} else if !d.latest.Load().HasUnlisted() {
		return nil
	}
	return d.requests.Put(ctx, partsRequest{event: ev})
}

// receiveUnlisted adds the quarantine of a control instance that does not lead.
func (d *partsDuty) receiveUnlisted(ctx context.Context, source string, n dragonflyfollowresponse.Response) {
	if len(n.Control) > 0 {
		d.control.Store(n.Control)
	}
	w := d.latest.Load()
	if !n.HasQuarantine && !w.HasUnlisted() {
		return
	}
	for _, p := range n.Quarantine {
		if !w.Quarantines([]string{p.ID}) {
			slog.Info("quarantine without a leader", "key", p.ID, "since-ms", p.Since.Milliseconds())
		}
	}
	ev := dragonflypartevent.Event{Kind: dragonflypartevent.Unlisted, Source: source, AskedAt: d.owner.Clock.Now(), Quarantine: n.Quarantine}
	_ = d.requests.Put(ctx, partsRequest{event: ev})
}

// admitParts returns the refusal of a request that is quarantined or has a quarantined
// part, the zero value if it may be sent. A request that was sent before keeps its last
// outcome.
func (q *request) admitParts(ctx context.Context, last errorResponse) (refusal errorResponse) {
	if q.isProbe {
		return errorResponse{}
	}
	v, err := q.owner.parts.admit(ctx, q.keys)
	if err != nil || v.Part == "" {
		q.isProbe = v.Probe
		return errorResponse{}
	}
	if q.sends > 0 {
		return last
	}
	reason := "a part of the prompt crashes engines"
	if dragonflyfingerprint.Is(v.Part) {
		reason = "the request crashes servers"
	}
	return errorResponse{status: http.StatusServiceUnavailable, reason: reason, retryAfter: v.RetryAfter}
}

// reportParts passes on that an attempt was lost before its server answered.
func (q *request) reportParts(c dragonflychoice.Choice, res result) {
	if res.kind == lost && q.reads < answeredEvents {
		ev := dragonflypartevent.Event{Kind: dragonflypartevent.Lost, ID: c.Endpoint.ID, Boot: c.Endpoint.Boot, SentAt: q.sentAt, Parts: q.keys}
		_ = q.owner.parts.requests.TryPut(partsRequest{event: ev, endpoint: c.Endpoint})
	}
}

// reportAnswered passes on that a server answers the request. An error is an answer to the
// request, but not to each of its parts.
func (q *request) reportAnswered(status int) {
	keys := q.keys
	if status >= http.StatusMultipleChoices {
		keys = keys[len(q.SharedParts):]
	}
	q.owner.parts.put(dragonflypartevent.Event{Kind: dragonflypartevent.Served, Parts: keys})
}
