// Package dragonflycallgenerator sends calls that may not be repeated to a plain
// service, and repeats the ones with an idempotency key until they are answered.
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

// Bounds of one call.
const (
	timeout    = 10 * time.Second
	maxTries   = 8
	retryPause = 250 * time.Millisecond
	inProgress = 512
)

// Generator sends calls. Fields are set before Run.
type Generator struct {
	// Base is the URL under which the service is called, such as
	// http://127.0.0.1:8080/services/orders.
	Base string
	// Key is the bearer key.
	Key string
	// Rate is the number of calls a second, Duration the time of sending.
	Rate     float64
	Duration dragonflyduration.Duration
	// Seed makes the bodies unique among runs.
	Seed uint64
	// KeyedOf is how many of ten calls have an idempotency key.
	KeyedOf int

	client *client.Client
	clock  dragonflyclock.Clock
}

// Run sends the calls and returns what their callers know when the last one has
// ended.
func (g *Generator) Run(ctx context.Context) (outcomes []dragonflycalloutcome.Outcome, err error) {
	defer func() { err = errors.WithMessage(err, "generate calls") }()
	g.client, err = client.NewClient(client.WithDialer(standard.NewDialer()), client.WithDialTimeout(time.Second),
		client.WithMaxConnsPerHost(inProgress), client.WithClientReadTimeout(timeout))
	if err != nil {
		return nil, err
	}
	defer g.client.CloseIdleConnections()
	total := int(g.Rate * g.Duration.Seconds())
	ended := dragonflyring.New[dragonflycalloutcome.Outcome]("call-outcomes", total+1)
	pool := &dragonflypool.Pool{Name: "calls", Size: inProgress}
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
		// A call that finds no free worker is not sent and not counted.
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
	o := dragonflycalloutcome.Outcome{Body: hex.EncodeToString(sum[:]), Keyed: i%10 < g.KeyedOf}
	for {
		o = g.try(ctx, o, body, i)
		if o.Kind == dragonflycalloutcome.Answered || !o.Keyed || o.Tries >= maxTries {
			return o
		}
		t := time.NewTimer(retryPause)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return o
		}
	}
}

// try sends the call once. An outcome that was unknown once stays so until the
// service's answer comes, because an earlier try may have run.
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
		_ = json.Unmarshal(res.Body(), &echo)
		o.EchoedBody = echo.Body
	default:
		o.Kind = dragonflycalloutcome.Unknown
	}
	return o
}
