package dragonflyentryserver

import (
	"context"
	"strconv"
	"time"

	"dragonflyrelay.example/dragonflyentry/queries/dragonflycompletion"
	"dragonflyrelay.example/dragonflyentry/queries/dragonflyreply"
	"dragonflyrelay.example/library/values/dragonflyentryaction"
	"dragonflyrelay.example/library/values/dragonflyentryevent"
	"dragonflyrelay.example/library/values/dragonflywork"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
)

func (e *entry) chat(ctx context.Context, c *app.RequestContext, r request) {
	q, err := dragonflycompletion.ParseChat(c.Request.Body())
	e.serveCompletion(ctx, c, r, q, err)
}

func (e *entry) completion(ctx context.Context, c *app.RequestContext, r request) {
	q, err := dragonflycompletion.ParseCompletion(c.Request.Body())
	e.serveCompletion(ctx, c, r, q, err)
}

// serveCompletion answers the parsed completion q, or its parse error err. The
// strings of q are copies made by the JSON decoder.
func (e *entry) serveCompletion(ctx context.Context, c *app.RequestContext, r request, q dragonflycompletion.Completion, err error) {
	if q.MaxTokens == 0 {
		q.MaxTokens = e.settings.CompletionTokens
	}
	routing := e.routing.Load()
	switch {
	case err != nil:
		writeError(c, apiError{status: 400, kind: kindInvalid, code: "invalid-body", message: err.Error()})
		return
	case q.MaxTokens > e.settings.MaxTokens:
		writeError(c, apiError{status: 400, kind: kindInvalid, code: "too-many-tokens",
			message: "max_tokens exceeds the entry's bound of " + strconv.Itoa(e.settings.MaxTokens)})
		return
	// While the table is incomplete, the request waits for a route like any other.
	case routing.KnowsModels() && !routing.HasSeenModel(q.Model):
		writeError(c, apiError{status: 404, kind: kindInvalid, code: "unknown-model", message: "unknown model " + quote(q.Model)})
		return
	}
	box, err := e.submit(dragonflyentryevent.Event{
		Kind: dragonflyentryevent.Begin, Request: r.id,
		Work: dragonflywork.Work{
			Workspace: r.workspace.Name(), Class: r.class.Name(), Kind: dragonflywork.Completion,
			Model: q.Model, Prompt: q.Prompt, MaxTokens: q.MaxTokens,
			FirstToken: r.class.FirstToken(), Gap: r.class.Gap(), Idempotent: true,
		},
		Deadline: r.class.Deadline(), MaxInFlight: r.workspace.MaxInFlight(),
	})
	if err != nil {
		writeError(c, notRunError(503, "entry-busy", "this entry has too many requests waiting"))
		return
	}
	rep := dragonflyreply.Reply{ID: r.id, Chat: q.Chat, Model: q.Model, Created: time.Now().Unix(), Prompt: q.Prompt, MaxTokens: q.MaxTokens}
	if q.Stream {
		e.streamReply(ctx, c, r, q, rep, box)
		return
	}
	end, ok := e.awaitEnd(ctx, r, box)
	switch {
	case !ok:
	case end.Outcome != dragonflyentryaction.Completed:
		writeError(c, endError(end))
	default:
		c.Data(200, jsonContentType, rep.Full(end.Tokens.Items()))
	}
}

// awaitEnd waits for the action that ends the answer. ok is false if the caller
// closes its connection first.
func (e *entry) awaitEnd(ctx context.Context, r request, box *mailbox) (end dragonflyentryaction.Action, ok bool) {
	for {
		select {
		case <-box.signal:
			if l := box.latest.Load(); l.end != nil {
				return *l.end, true
			}
		case <-ctx.Done():
			e.disconnect(r.id)
			return end, false
		case <-e.base.Done():
			return dragonflyentryaction.Action{Outcome: dragonflyentryaction.Unknown, Reason: reasonEntryStopped}, true
		}
	}
}

// reasonEntryStopped is the reason of a request that exceeds the drain timeout.
const reasonEntryStopped = "entry-stopped"

// eventWriter writes the events of one streamed answer. The response starts with
// the first token, so that an earlier error is sent with its own status.
type eventWriter struct {
	c       *app.RequestContext
	w       *sse.Writer
	timeout time.Duration
}

// write sends one event. It fails if that takes longer than the write timeout.
func (w *eventWriter) write(kind string, data []byte) error {
	if w.w == nil {
		w.w = sse.NewWriter(w.c)
	}
	if err := w.c.GetConn().SetWriteDeadline(time.Now().Add(w.timeout)); err != nil {
		return err
	}
	return w.w.WriteEvent("", kind, data)
}

// streamReply sends an answer to its caller as events.
func (e *entry) streamReply(ctx context.Context, c *app.RequestContext, r request, q dragonflycompletion.Completion, rep dragonflyreply.Reply, box *mailbox) {
	w := &eventWriter{c: c, timeout: time.Duration(e.settings.WriteTimeout)}
	sent := 0
	for {
		select {
		case <-box.signal:
		case <-ctx.Done():
			e.disconnect(r.id)
			return
		case <-e.base.Done():
			_ = w.finish(dragonflyentryaction.Action{Outcome: dragonflyentryaction.Failed, Reason: reasonEntryStopped}, rep, q, sent)
			return
		}
		l := box.latest.Load()
		for ; sent < l.tokens.Len(); sent++ {
			if err := w.write("", rep.Chunk(sent, l.tokens.At(sent))); err != nil {
				e.abortStream(c, r)
				return
			}
		}
		if l.end != nil {
			if err := w.finish(*l.end, rep, q, sent); err != nil {
				e.abortStream(c, r)
			}
			return
		}
	}
}

// abortStream cancels the request and closes the connection of a caller that does
// not read or has disconnected.
func (e *entry) abortStream(c *app.RequestContext, r request) {
	e.disconnect(r.id)
	_ = c.GetConn().Close()
}

// finish writes the end of a stream of n tokens: the finish reason, the usage and
// [DONE] after a complete answer, otherwise an error event without [DONE].
func (w *eventWriter) finish(end dragonflyentryaction.Action, rep dragonflyreply.Reply, q dragonflycompletion.Completion, n int) error {
	if end.Outcome != dragonflyentryaction.Completed {
		apiErr := endError(end)
		if w.w == nil {
			writeError(w.c, apiErr)
			return nil
		}
		if err := w.write("error", apiErr.event()); err != nil {
			return err
		}
		return w.w.Close()
	}
	events := [][]byte{rep.FinishChunk(n)}
	if q.IncludeUsage {
		events = append(events, rep.UsageChunk(n))
	}
	for _, data := range append(events, []byte(dragonflyreply.Done)) {
		if err := w.write("", data); err != nil {
			return err
		}
	}
	return w.w.Close()
}
