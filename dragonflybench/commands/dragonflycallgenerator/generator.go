// Package dragonflycallgenerator sends non-idempotent calls to a plain service and
// retries those that have an idempotency key.
package dragonflycallgenerator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"dragonflyrelay.example/dragonflybench/values/dragonflycalloutcome"
	"dragonflyrelay.example/library/common/dragonflyclock"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflypool"
	"dragonflyrelay.example/library/common/dragonflyring"
	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"
)

// Limits of calls.
const (
	timeout       = 10 * time.Second
	maxTries      = 8
	retryDelay    = 250 * time.Millisecond
	maxInProgress = 512
)

// Generator sends calls. Fields are set before Run.
type Generator struct {
	// Base is the URL under which the service is called, such as
	// http://127.0.0.1:8080/services/orders.
	Base string
	// Key is the bearer key.
	Key string
	// Rate is the number of calls per second, Duration the time during which calls
	// are sent.
	Rate     float64
	Duration dragonflyduration.Duration
	// Seed makes the bodies unique across runs.
	Seed uint64
	// KeyedPerTen is the number of calls in each ten that have an idempotency key.
	KeyedPerTen int

	client *client.Client
	clock  dragonflyclock.Clock
}

// Run sends the calls and returns their outcomes, as observed by the callers, when
// the last one has ended.
func (g *Generator) Run(ctx context.Context) (outcomes []dragonflycalloutcome.Outcome, err error) {
	defer func() { err = errors.WithMessage(err, "generate calls") }()
	g.client, err = client.NewClient(client.WithDialer(standard.NewDialer()), client.WithDialTimeout(time.Second),
		client.WithMaxConnsPerHost(maxInProgress), client.WithClientReadTimeout(timeout))
	if err != nil {
		return nil, err
	}
	defer g.client.CloseIdleConnections()
	total := int(g.Rate * g.Duration.Seconds())
	ended := dragonflyring.New[dragonflycalloutcome.Outcome]("call-outcomes", total+1)
	pool := &dragonflypool.Pool{Name: "calls", Size: maxInProgress}
	begin := g.clock.Now()
	t := time.NewTimer(0)
	defer t.Stop()
	for i := range total {
		at := begin.Add(dragonflyduration.Duration(float64(i) / g.Rate * float64(dragonflyduration.Second)))
		t.Reset(time.Duration(at.Sub(g.clock.Now())))
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
		// A call is neither sent nor counted if all workers are busy.
		_ = pool.Go(func() { _ = ended.TryPut(g.call(ctx, i)) })
	}
	_ = pool.Wait(context.Background())
	ended.Close()
	for {
		o, err := ended.Take(context.Background())
		if err != nil {
			return outcomes, ctx.Err()
		}
		outcomes = append(outcomes, o)
	}
}

func (g *Generator) call(ctx context.Context, i int) dragonflycalloutcome.Outcome {
	body := fmt.Sprintf(`{"seed":%d,"call":%d}`, g.Seed, i)
	sum := sha256.Sum256([]byte(body))
	o := dragonflycalloutcome.Outcome{Body: hex.EncodeToString(sum[:]), Keyed: i%10 < g.KeyedPerTen}
	for {
		o = g.try(ctx, o, body, i)
		if o.Kind == dragonflycalloutcome.Answered || o.Kind == dragonflycalloutcome.Broken || !o.Keyed || o.Tries >= maxTries {
			return o
		}
		t := time.NewTimer(retryDelay)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return o
		}
	}
}

// try sends the call once. After an unknown outcome, the outcome stays unknown
// until the service answers, because an earlier attempt may have run.
func (g *Generator) try(ctx context.Context, o dragonflycalloutcome.Outcome, body string, i int) dragonflycalloutcome.Outcome {
	o.Tries++
	req, res := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(res)
	req.SetMethod(http.MethodPost)
	req.SetRequestURI(g.Base + "/reserve")
	req.Header.SetContentTypeBytes([]byte("application/json"))
	req.SetHeader("Authorization", "Bearer "+g.Key)
	if o.Keyed {
		req.SetHeader("Idempotency-Key", fmt.Sprintf("%d-%d", g.Seed, i))
	}
	req.SetBodyString(body)
	err := g.client.DoTimeout(ctx, req, res, timeout)
	outcome := string(res.Header.Peek("dragonfly-outcome"))
	switch {
	case err != nil:
		o.Kind = dragonflycalloutcome.Unknown
	case outcome == "not-run" && o.Kind != dragonflycalloutcome.Unknown:
		o.Kind = dragonflycalloutcome.NotRun
	case outcome == "":
		o.Kind = dragonflycalloutcome.Answered
		var echo struct {
			Body string `json:"body-sha256"`
		}
		err := json.Unmarshal(res.Body(), &echo)
		o.EchoedBody = echo.Body
		if res.StatusCode() == http.StatusOK && (err != nil || echo.Body == "") {
			o.Kind = dragonflycalloutcome.Broken
		}
	default:
		o.Kind = dragonflycalloutcome.Unknown
	}
	return o
}
