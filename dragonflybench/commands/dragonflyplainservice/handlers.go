package dragonflyplainservice

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"time"

	"dragonflyrelay.example/dragonflybench/common/dragonflyhttpserver"
	"dragonflyrelay.example/dragonflybench/values/dragonflycallaction"
	"dragonflyrelay.example/dragonflybench/values/dragonflycallevent"
	"dragonflyrelay.example/library/common/dragonflydebugserver"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/common/dragonflyring"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
)

// requestHeader is the header with the request id that the agent assigns to a call.
const requestHeader = "dragonfly-request-id"

func (s *PlainService) routes(h *server.Hertz) {
	debug := dragonflydebugserver.Server{}
	debug.Register(h)
	h.GET("/record", s.record)
	h.POST("/faults", s.fault)
	h.NoRoute(s.call)
}

// call handles every method and path without a route of its own as a call of the
// service.
func (s *PlainService) call(ctx context.Context, c *app.RequestContext) {
	sum := sha256.Sum256(c.Request.Body())
	ev := dragonflycallevent.Event{
		Kind: dragonflycallevent.Call, CallID: s.lastCallID.Add(1),
		Request: string(c.GetHeader(requestHeader)), Body: hex.EncodeToString(sum[:]),
	}
	replies := dragonflyring.New[dragonflycallaction.Action]("plain-service-call", 1)
	if err := s.events.Put(ctx, input{ev, replies}); err != nil {
		dragonflyhttpserver.Fail(c, http.StatusServiceUnavailable, "not-run", err.Error())
		return
	}
	defer func() {
		end := dragonflycallevent.Event{Kind: dragonflycallevent.End, CallID: ev.CallID}
		_ = s.events.Put(context.Background(), input{ev: end})
	}()
	a, err := replies.Take(ctx)
	if err != nil {
		return
	}
	pause(ctx, a.Delay)
	answer(c, ev, a)
}

func answer(c *app.RequestContext, ev dragonflycallevent.Event, a dragonflycallaction.Action) {
	switch a.Kind {
	case dragonflycallaction.Drop:
		_ = c.GetConn().Close()
	case dragonflycallaction.Fail:
		dragonflyhttpserver.Fail(c, http.StatusInternalServerError, "failed", "the call ran and failed, as set")
	default:
		c.JSON(http.StatusOK, map[string]any{
			"request-id": ev.Request, "run": a.Run, "body-sha256": ev.Body,
			"method": string(c.Method()), "path": string(c.Path()),
		})
	}
}

// pause waits for the duration of a call, or until the caller disconnects.
func pause(ctx context.Context, d dragonflyduration.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(time.Duration(d))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (s *PlainService) fault(ctx context.Context, c *app.RequestContext) {
	var w struct {
		DelayMS   int64 `json:"delay-ms"`
		FailEvery int   `json:"fail-every"`
		DropEvery int   `json:"drop-every"`
	}
	err := json.Unmarshal(c.Request.Body(), &w)
	if err == nil {
		err = s.events.Put(ctx, input{ev: dragonflycallevent.Event{
			Kind: dragonflycallevent.Fault, FailEvery: w.FailEvery, DropEvery: w.DropEvery,
			Delay: dragonflyduration.Duration(w.DelayMS) * dragonflyduration.Millisecond,
		}})
	}
	if err != nil {
		dragonflyhttpserver.Fail(c, http.StatusBadRequest, "not-run", err.Error())
		return
	}
	c.String(http.StatusOK, "ok\n")
}

// record handles GET /record: it returns the number of runs by request id and by
// body.
func (s *PlainService) record(_ context.Context, c *app.RequestContext) {
	l := s.ledger.Load()
	c.JSON(http.StatusOK, map[string]any{
		"instance": s.Settings.Instance, "calls": l.Calls(),
		"runs-by-request": counts(l.ByRequest()), "runs-by-body": counts(l.ByBody()),
	})
}

func counts(m dragonflymap.Map[string, int]) map[string]int {
	out := make(map[string]int, m.Len())
	for k, n := range m.All() {
		out[k] = n
	}
	return out
}
