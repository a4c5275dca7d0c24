package dragonflyengine

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dragonflyrelay.example/dragonflybench/codecs/dragonflyupstreamjson"
	"dragonflyrelay.example/dragonflybench/common/dragonflyhttpserver"
	"dragonflyrelay.example/dragonflybench/queries/dragonflyprefix"
	"dragonflyrelay.example/dragonflybench/values/dragonflyengineevent"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"github.com/cloudwego/hertz/pkg/app"
)

// runRecord describes one run of a request. Times are wall-clock ns since the Unix
// epoch, 0 for none.
type runRecord struct {
	Request    string `json:"request"`
	Group      uint64 `json:"group"`
	Fence      uint64 `json:"fence"`
	From       int    `json:"from"`
	Tokens     int    `json:"tokens"`
	AcceptedAt int64  `json:"accepted-at"`
	FirstAt    int64  `json:"first-at"`
	LastAt     int64  `json:"last-at"`
	End        string `json:"end"`
}

// tokenSummary summarizes the tokens emitted by one group under one fencing number.
type tokenSummary struct {
	Group   uint64 `json:"group"`
	Fence   uint64 `json:"fence"`
	Count   int    `json:"count"`
	FirstAt int64  `json:"first-at"`
	LastAt  int64  `json:"last-at"`
}

type recordResponse struct {
	Instance string         `json:"instance"`
	Group    uint64         `json:"group"`
	Fence    uint64         `json:"fence"`
	ColdPeak int            `json:"cold-peak"`
	Dropped  int            `json:"dropped"`
	Runs     []runRecord    `json:"runs"`
	Tokens   []tokenSummary `json:"tokens"`
}

// record serves GET /record: the runs of the engine, a summary of their tokens by
// group and fencing number, and the peak of concurrent requests while cold.
func (e *Engine) record(_ context.Context, c *app.RequestContext) {
	core := e.core.Load()
	wall, now := time.Now().UnixNano(), e.clock.Now()
	at := func(t dragonflyinstant.Instant) int64 {
		if t == 0 {
			return 0
		}
		return wall - int64(now.Sub(t))
	}
	response := recordResponse{
		Instance: e.Settings.Instance, Group: core.Group(), Fence: core.Fence(),
		ColdPeak: core.Batch().ColdPeak(), Dropped: core.Record().Dropped(), Runs: []runRecord{},
	}
	core.Record().Runs(func(id string, group, fence uint64, from, tokens int, accepted, first, last dragonflyinstant.Instant, end string) {
		request, _, _ := strings.Cut(id, idSeparator)
		response.Runs = append(response.Runs, runRecord{request, group, fence, from, tokens, at(accepted), at(first), at(last), end})
	})
	response.Tokens = sumTokens(response.Runs)
	c.JSON(http.StatusOK, response)
}

func sumTokens(runs []runRecord) []tokenSummary {
	sums := []tokenSummary{}
	index := map[[2]uint64]int{}
	for _, r := range runs {
		if r.Tokens == 0 {
			continue
		}
		key := [2]uint64{r.Group, r.Fence}
		i, ok := index[key]
		if !ok {
			i = len(sums)
			index[key] = i
			sums = append(sums, tokenSummary{Group: r.Group, Fence: r.Fence, FirstAt: r.FirstAt})
		}
		sums[i].Count += r.Tokens
		sums[i].FirstAt = min(sums[i].FirstAt, r.FirstAt)
		sums[i].LastAt = max(sums[i].LastAt, r.LastAt)
	}
	return sums
}

// exportBlocks serves POST /kv/export: the cached blocks at the start of a prompt.
func (e *Engine) exportBlocks(_ context.Context, c *app.RequestContext) {
	prompt, _, err := dragonflyupstreamjson.UnmarshalBlocks(c.Request.Body())
	if err != nil {
		dragonflyhttpserver.Fail(c, http.StatusBadRequest, outcomeNotRun, err.Error())
		return
	}
	blocks := dragonflyprefix.Blocks(prompt)
	raw, err := dragonflyupstreamjson.MarshalBlocks(blocks[:e.core.Load().Batch().CachedBlocks(blocks)])
	if err != nil {
		dragonflyhttpserver.Fail(c, http.StatusInternalServerError, outcomeFailed, err.Error())
		return
	}
	c.Data(http.StatusOK, "application/json", raw)
}

// importBlocks serves POST /kv/import: it adds exported blocks to the cache.
func (e *Engine) importBlocks(ctx context.Context, c *app.RequestContext) {
	_, blocks, err := dragonflyupstreamjson.UnmarshalBlocks(c.Request.Body())
	if err == nil {
		err = e.in.Put(ctx, input{ev: dragonflyengineevent.Event{Kind: dragonflyengineevent.Import, Blocks: blocks}})
	}
	if err != nil {
		dragonflyhttpserver.Fail(c, http.StatusBadRequest, outcomeNotRun, err.Error())
		return
	}
	c.String(http.StatusOK, "ok\n")
}

type cacheEventRecord struct {
	Number uint64 `json:"number"`
	Event  string `json:"event"`
	Block  string `json:"block"`
}

// cacheEvents serves GET /cache-events?since=n: the events published after number
// n, with a lag and with gaps in their numbers.
func (e *Engine) cacheEvents(_ context.Context, c *app.RequestContext) {
	since, err := strconv.ParseUint(c.DefaultQuery("since", "0"), 10, 64)
	if err != nil {
		dragonflyhttpserver.Fail(c, http.StatusBadRequest, outcomeNotRun, "since is not a number")
		return
	}
	events := []cacheEventRecord{}
	e.core.Load().Batch().CacheEvents(e.clock.Now(), since, func(number uint64, stored bool, block uint64) {
		event := "evicted"
		if stored {
			event = "stored"
		}
		events = append(events, cacheEventRecord{number, event, dragonflyupstreamjson.BlockName(block)})
	})
	c.JSON(http.StatusOK, map[string]any{"events": events})
}
