package dragonflyengine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"dragonflyrelay.example/dragonflybench/codecs/dragonflyupstreamjson"
	"dragonflyrelay.example/dragonflybench/common/dragonflyhttpserver"
	"dragonflyrelay.example/dragonflybench/values/dragonflyengineaction"
	"dragonflyrelay.example/dragonflybench/values/dragonflyengineevent"
	"dragonflyrelay.example/library/common/dragonflydebugserver"
	"dragonflyrelay.example/library/common/dragonflyring"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
)

const (
	outcomeNotRun = "not-run"
	outcomeFailed = "failed"
)

func (e *Engine) routes(h *server.Hertz) {
	debug := dragonflydebugserver.Server{Ready: func() bool { return e.core.Load().GroupReady(e.clock.Now()) }}
	debug.Register(h)
	h.POST("/v1/completions", e.delayWhileFrozen(e.complete))
	h.POST("/orders", e.delayWhileFrozen(e.order))
	h.GET("/ping", e.delayWhileFrozen(e.writeState))
	h.POST("/faults", e.fault)
	h.POST("/kv/export", e.delayWhileFrozen(e.exportBlocks))
	h.POST("/kv/import", e.delayWhileFrozen(e.importBlocks))
	h.GET("/cache-events", e.delayWhileFrozen(e.cacheEvents))
	h.GET("/record", e.record)
}

// delayWhileFrozen wraps h to wait while the engine is frozen, like a paused
// process.
func (e *Engine) delayWhileFrozen(h app.HandlerFunc) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		if e.waitWhileFrozen(ctx) == nil {
			h(ctx, c)
		}
	}
}

func (e *Engine) complete(ctx context.Context, c *app.RequestContext) {
	ev, err := dragonflyupstreamjson.UnmarshalCompletion(c.Request.Body())
	if err != nil {
		dragonflyhttpserver.Fail(c, http.StatusBadRequest, outcomeNotRun, err.Error())
		return
	}
	for i, text := range ev.Delivered {
		if text != e.Token(ev.Prompt, i) {
			dragonflyhttpserver.Fail(c, http.StatusBadRequest, outcomeNotRun, fmt.Sprintf("resume-from has a wrong token %d", i))
			return
		}
	}
	// A retry may arrive before the end of the attempt that it replaces, so every
	// run gets an id of its own.
	ev.ID = fmt.Sprint(ev.ID, idSeparator, e.lastRun.Add(1))
	// The two extra actions are Accept and the final one.
	replies := dragonflyring.New[dragonflyengineaction.Action]("engine-answer", ev.MaxTokens-len(ev.Delivered)+2)
	if err := e.in.Put(ctx, input{ev, replies}); err != nil {
		dragonflyhttpserver.Fail(c, http.StatusServiceUnavailable, outcomeNotRun, err.Error())
		return
	}
	first, err := replies.Take(ctx)
	if err != nil {
		e.cancel(ev.ID)
		return
	}
	if first.Kind != dragonflyengineaction.Accept {
		dragonflyhttpserver.Fail(c, refusalStatus(first.Reason), outcomeNotRun, first.Reason)
		return
	}
	if e.stream(ctx, c, ev, replies) != nil {
		e.cancel(ev.ID)
	}
}

// stream sends the answer. An answer that breaks off ends without the final event.
func (e *Engine) stream(ctx context.Context, c *app.RequestContext, ev dragonflyengineevent.Event, replies replyRing) error {
	w := sse.NewWriter(c)
	for {
		a, err := replies.Take(ctx)
		if err != nil {
			return err
		}
		var data []byte
		switch a.Kind {
		case dragonflyengineaction.Token:
			data, err = json.Marshal(struct {
				Index int    `json:"index"`
				Text  string `json:"text"`
			}{a.Index, e.Token(ev.Prompt, a.Index)})
		case dragonflyengineaction.Finish:
			data = fmt.Appendf(nil, `{"done":true,"count":%d}`, a.Index)
		default:
			c.SetConnectionClose()
			return nil
		}
		if err != nil {
			return err
		}
		if err := w.WriteEvent("", "", data); err != nil {
			return err
		}
		if a.Kind == dragonflyengineaction.Finish {
			return w.Close()
		}
	}
}

// cancel notifies the core that the caller of a request has disconnected. It uses
// no context of the caller, which has ended by then.
func (e *Engine) cancel(id string) {
	_ = e.in.Put(context.Background(), input{ev: dragonflyengineevent.Event{Kind: dragonflyengineevent.Cancel, ID: id}})
}

func refusalStatus(reason string) int {
	switch reason {
	case dragonflyengineaction.ReasonDuplicate, dragonflyengineaction.ReasonOldFence, dragonflyengineaction.ReasonNotHead:
		return http.StatusConflict
	default:
		return http.StatusServiceUnavailable
	}
}

func (e *Engine) order(ctx context.Context, c *app.RequestContext) {
	ev, err := dragonflyupstreamjson.UnmarshalOrder(c.Request.Body())
	if err != nil {
		dragonflyhttpserver.Fail(c, http.StatusBadRequest, outcomeNotRun, err.Error())
		return
	}
	ev.ID = fmt.Sprint(orderPrefix, e.lastRun.Add(1))
	replies := dragonflyring.New[dragonflyengineaction.Action]("engine-order", 1)
	if err := e.in.Put(ctx, input{ev, replies}); err != nil {
		dragonflyhttpserver.Fail(c, http.StatusServiceUnavailable, outcomeNotRun, err.Error())
		return
	}
	// An order in the ring is executed even if its caller disconnects, which ends
	// ctx. The outcome in that case is failed, because not-run would be wrong.
	a, err := replies.Take(ctx)
	if err != nil {
		dragonflyhttpserver.Fail(c, http.StatusServiceUnavailable, outcomeFailed, err.Error())
		return
	}
	if a.Kind != dragonflyengineaction.Accept {
		dragonflyhttpserver.Fail(c, refusalStatus(a.Reason), outcomeNotRun, a.Reason)
		return
	}
	e.writeState(ctx, c)
}

// rankState is the group and model that the engine holds, as reported to the other
// ranks and the agent.
type rankState struct {
	Group  uint64 `json:"group"`
	Fence  uint64 `json:"fence"`
	Rank   int    `json:"rank"`
	Model  string `json:"model"`
	Loaded bool   `json:"loaded"`
}

func (e *Engine) writeState(_ context.Context, c *app.RequestContext) {
	core := e.core.Load()
	c.JSON(http.StatusOK, rankState{core.Group(), core.Fence(), core.Rank(), core.Model(), core.Loaded(e.clock.Now())})
}

func (e *Engine) fault(ctx context.Context, c *app.RequestContext) {
	ev, err := dragonflyupstreamjson.UnmarshalFault(c.Request.Body())
	if err == nil {
		err = e.in.Put(ctx, input{ev: ev})
	}
	if err != nil {
		dragonflyhttpserver.Fail(c, http.StatusBadRequest, outcomeNotRun, err.Error())
		return
	}
	c.String(http.StatusOK, "ok\n")
}
