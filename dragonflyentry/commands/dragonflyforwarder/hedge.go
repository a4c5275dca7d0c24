package dragonflyforwarder

import (
	"context"
	"expvar"
	"log/slog"
	"slices"
	"time"

	"dragonflyrelay.example/library/commands/dragonflyhedging"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflybalanceevent"
	"dragonflyrelay.example/library/values/dragonflychoice"
	"dragonflyrelay.example/library/values/dragonflyhedgerequest"
)

// hedgePoolSize bounds the second attempts at a time. One that answers a stream runs until its
// end.
const hedgePoolSize = 128

// hedges counts the second attempts: those sent, those that were the first to answer, and
// those that were not sent, by reason.
var hedges = expvar.NewMap("dragonfly-forward-second-sends")

// hedge is the second attempt of a request whose first one is in progress.
type hedge struct {
	q       request // has a state of its own; of the caller's response only if it wins
	first   dragonflychoice.Choice
	firstAt dragonflyinstant.Instant
	sends   int           // of the request before the second attempt, with the first one
	sentTo  int           // length of the list before both attempts
	done    chan struct{} // closed when the second attempt has ended, or will not begin

	// The fields below are set before done is closed.
	began  bool
	after  dragonflyduration.Duration // from the first attempt
	choice dragonflychoice.Choice
	res    result
}

// attemptHedged sends the request to the endpoint of c, and to a second one if the first
// answer or event is late. It returns the choice and the result of the attempt that the
// request continues after.
func (q *request) attemptHedged(ctx context.Context, c dragonflychoice.Choice) (chosen dragonflychoice.Choice, res result) {
	now := q.owner.Clock.Now()
	delay, ok := q.hedgeDelay(now)
	if !ok {
		return c, q.attemptOnce(ctx, c)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	first, cancelFirst := context.WithCancelCause(ctx)
	second, cancelSecond := context.WithCancelCause(ctx)
	defer cancelFirst(nil)
	defer cancelSecond(nil)
	q.race = &race{}
	q.race.cancel, q.race.inProgress[firstAttempt] = [raceAttempts]context.CancelCauseFunc{cancelFirst, cancelSecond}, true
	h := newHedge(q, c, now)
	timer := time.AfterFunc(time.Duration(delay), func() {
		if err := q.owner.hedges.Go(func() { h.run(second) }); err != nil {
			hedges.Add("refused-busy", 1)
			close(h.done)
		}
	})
	defer timer.Stop()
	res = q.attemptOnce(first, c)
	q.race.end(firstAttempt, res.mayHaveRun())
	if !timer.Stop() {
		<-h.done
	}
	r := q.race
	q.race = nil
	if !h.began {
		return c, res
	}
	return q.merge(h, r, c, res)
}

// attemptOnce sends the request to the endpoint of c and reports the outcome.
func (q *request) attemptOnce(ctx context.Context, c dragonflychoice.Choice) (res result) {
	q.hasEvent, q.reads, q.answerTime, q.sentAt = false, 0, 0, q.owner.Clock.Now()
	res = q.attempt(ctx, c)
	q.reportOutcome(ctx, c, res)
	return res
}

// hedgeDelay returns the time after which the request is late, and whether it may be sent to
// a second endpoint then.
func (q *request) hedgeDelay(now dragonflyinstant.Instant) (delay dragonflyduration.Duration, ok bool) {
	if q.owner.Settings.SecondSendRatio <= 0 || !q.hedgeRequest(now).Eligible() {
		return 0, false
	}
	return q.owner.balance.hedging.Load().Delay(now, q.service.Name, q.servedModel(), q.route.Objective)
}

// hedgeRequest describes the request with an attempt in progress.
func (q *request) hedgeRequest(now dragonflyinstant.Instant) dragonflyhedgerequest.Request {
	return dragonflyhedgerequest.Request{
		Retryable: q.route.Retryable(), Attempts: q.runs + 1, MaxAttempts: q.route.MaxAttempts, HasLost: q.lostAt != 0, HasBegun: q.started,
		IsProbe: q.isProbe, IsSuspect: q.owner.parts.latest.Load().Suspects(now, q.keys),
	}
}

// newHedge returns the second attempt of q, whose first one is about to be sent.
func newHedge(q *request, c dragonflychoice.Choice, now dragonflyinstant.Instant) *hedge {
	h := &hedge{q: *q, first: c, firstAt: now, sends: q.sends + 1, sentTo: len(q.sentTo), done: make(chan struct{})}
	h.q.attemptIndex, h.q.sends, h.q.runs, h.q.next = secondAttempt, h.sends, q.runs+1, nil
	h.q.tried = append(slices.Clone(q.tried), c.Endpoint.ID)
	h.q.sentTo = slices.Clone(q.sentTo)
	return h
}

// run sends the request to a second endpoint if the first one has not answered yet and the
// decisions still allow it.
func (h *hedge) run(ctx context.Context) {
	defer close(h.done)
	q := &h.q
	now, parts := q.owner.Clock.Now(), q.owner.parts.latest.Load()
	if ctx.Err() != nil || q.deadline.Sub(now) < minAttemptTime {
		return
	}
	if parts.Quarantines(q.keys) || parts.Suspects(now, q.keys) {
		hedges.Add("refused-suspect", 1)
		return
	}
	h.after = now.Sub(h.firstAt)
	c, err := q.owner.balance.choose(ctx, q.hedgeEvent(h.first, h.after))
	switch {
	case err != nil:
		return
	case c.Reason == dragonflyhedging.ReasonBudget:
		hedges.Add("refused-budget", 1)
		return
	case !c.OK:
		hedges.Add("refused-other", 1)
		return
	case !q.race.beginSecond():
		q.owner.returnChoice(ctx, c, float64(q.PromptTokens))
		return
	}
	hedges.Add("sent", 1)
	h.began, h.choice = true, c
	h.res = result{kind: lost, reason: "internal error"} // in case of a panic
	h.res = q.attemptOnce(ctx, c)
	q.race.end(secondAttempt, h.res.mayHaveRun())
}

// waitedFor returns the time that an attempt with the result res took for the whole answer to
// a call, or for which a first attempt had none until the second one had. It is 0 for others.
func (q *request) waitedFor(ctx context.Context, res result) dragonflyduration.Duration {
	switch {
	case q.lostAt != 0:
		return 0
	case res.kind == served && !q.isStreaming():
		return q.answerTime
	case res.kind == abandoned && isSuperseded(ctx) && q.attemptIndex == firstAttempt && !q.hasEvent:
		return q.owner.Clock.Now().Sub(q.sentAt)
	}
	return 0
}

// hedgeEvent returns the event that chooses a second endpoint for the request, which has
// waited for the given time for an answer of the endpoint of c.
func (q *request) hedgeEvent(c dragonflychoice.Choice, waited dragonflyduration.Duration) dragonflybalanceevent.Event {
	ev := q.moveEvent(c)
	ev.RepeatedPrefill = q.isStreaming() && q.service.Grouped()
	ev.Hedge, ev.Waited, ev.Objective = true, waited, q.route.Objective
	return ev
}

// merge joins the states of both attempts, of which the first one was at the endpoint of c
// and had the result res.
func (q *request) merge(h *hedge, r *race, c dragonflychoice.Choice, res result) (chosen dragonflychoice.Choice, last result) {
	q.logHedge(h, r, c, res)
	sends, sentTo := q.sends+h.q.sends-h.sends, append(q.sentTo, h.q.sentTo[h.sentTo:]...)
	if r.hasWon(secondAttempt) {
		tried := append(q.tried, c.Endpoint.ID)
		*q = h.q
		if !res.mayHaveRun() {
			q.runs--
		}
		q.attemptIndex, q.race, q.tried, q.sends, q.sentTo = firstAttempt, nil, tried, sends, sentTo
		return h.choice, h.res
	}
	q.sends, q.sentTo = sends, sentTo
	if q.next == nil {
		q.next = h.q.next
	}
	isOver := res.kind == served || res.kind == abandoned || res.kind == expired
	switch {
	case isOver && h.res.mayHaveRun():
		q.runs++
	case isOver:
	case h.res.mayHaveRun() && !res.mayHaveRun():
		// The second attempt decides on what follows, since it may have run.
		c, h.choice, res, h.res = h.choice, c, h.res, res
	case h.res.mayHaveRun():
		q.runs++
	}
	if !h.res.pauses {
		q.tried = append(q.tried, h.choice.Endpoint.ID)
	}
	return c, res
}

// logHedge counts and logs a request that was sent twice.
func (q *request) logHedge(h *hedge, r *race, c dragonflychoice.Choice, res result) {
	winner, reason := "none", "the answer is late"
	if q.isStreaming() {
		reason = "the first event is late"
	}
	switch {
	case r.hasWon(firstAttempt):
		winner = "first"
	case r.hasWon(secondAttempt):
		winner = "second"
		hedges.Add("won", 1)
	}
	slog.Info("request sent twice", "request", q.ID, "service", q.service.Name, "model", q.servedModel(), "reason", reason,
		"after-ms", h.after.Milliseconds(), "first", c.Endpoint.ID, "second", h.choice.Endpoint.ID, "won", winner,
		"first-outcome", res.kind.String(), "second-outcome", h.res.kind.String(), "ms", q.owner.Clock.Now().Sub(h.firstAt).Milliseconds())
}

// mayHaveRun reports whether the upstream may have run the request.
func (r result) mayHaveRun() bool {
	return r.kind != refused && r.kind != unreachable && r.kind != withdrawn
}

// supersededResult is that of an attempt that ends because another one has answered.
func supersededResult() result { return result{kind: abandoned, reason: errSuperseded.Error()} }

// claim reports whether this attempt may write to the caller, after which no other one does.
func (q *request) claim() bool { return q.race.claim(q.attemptIndex) }

// isSuperseded reports whether ctx has ended because another attempt has answered.
func isSuperseded(ctx context.Context) bool { return context.Cause(ctx) == errSuperseded }
