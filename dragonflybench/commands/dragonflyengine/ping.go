package dragonflyengine

import (
	"context"
	"encoding/json"
	"expvar"
	"net/http"
	"time"

	"dragonflyrelay.example/dragonflybench/values/dragonflyengineevent"
	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"
)

var lostPings = expvar.NewInt("dragonfly-bench-pings-lost")

// runPinger polls the state of the other ranks while this engine is the head.
// Only the head polls, because only the head answers requests.
func (e *Engine) runPinger(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "ping ranks") }()
	c, err := client.NewClient(client.WithDialer(standard.NewDialer()), client.WithDialTimeout(time.Duration(e.Settings.PingTimeout)))
	if err != nil {
		return err
	}
	defer c.CloseIdleConnections()
	t := time.NewTicker(time.Duration(e.Settings.PingPeriod))
	defer t.Stop()
	for {
		select {
		case <-t.C:
			e.pingRanks(ctx, c)
		case <-ctx.Done():
			return nil
		}
	}
}

func (e *Engine) pingRanks(ctx context.Context, c *client.Client) {
	core := e.core.Load()
	if core.Rank() != 0 || e.clock.Now().Before(core.FrozenUntil()) {
		return
	}
	for rank, addr := range core.Ranks() {
		if rank == 0 {
			continue
		}
		if err := e.pool.Go(func() { e.pingRank(ctx, c, rank, addr) }); err != nil {
			lostPings.Add(1)
		}
	}
}

func (e *Engine) pingRank(ctx context.Context, c *client.Client, rank int, addr string) {
	req, res := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(res)
	req.SetRequestURI("http://" + addr + "/ping")
	var h rankState
	err := c.DoTimeout(ctx, req, res, time.Duration(e.Settings.PingTimeout))
	if err == nil && res.StatusCode() == http.StatusOK {
		err = json.Unmarshal(res.Body(), &h)
	}
	if err != nil || !h.Loaded {
		lostPings.Add(1)
		return
	}
	_ = e.in.Put(ctx, input{ev: dragonflyengineevent.Event{
		Kind: dragonflyengineevent.Pong, Rank: rank, Group: h.Group, Fence: h.Fence,
	}})
}
