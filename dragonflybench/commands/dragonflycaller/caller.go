// Package dragonflycaller sends completion requests to an entry or an engine and
// verifies every token of the answers.
package dragonflycaller

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"dragonflyrelay.example/dragonflybench/codecs/dragonflyupstreamjson"
	"dragonflyrelay.example/dragonflybench/queries/dragonflyexpectation"
	"dragonflyrelay.example/dragonflybench/values/dragonflyengineevent"
	"dragonflyrelay.example/dragonflybench/values/dragonflyloadsettings"
	"dragonflyrelay.example/dragonflybench/values/dragonflyoutcome"
	"dragonflyrelay.example/dragonflybench/values/dragonflyrequest"
	"dragonflyrelay.example/library/common/dragonflyclock"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/pkg/errors"
)

// dialTimeout bounds the connection setup, which is on loopback.
const dialTimeout = time.Second

// Caller sends requests to one base URL. Use New.
type Caller struct {
	cfg    dragonflyloadsettings.Settings
	client *client.Client
	clock  dragonflyclock.Clock
}

// New returns a caller with the base URL, form, model, timeout and connection limit
// of cfg.
func New(cfg dragonflyloadsettings.Settings) (c *Caller, err error) {
	defer func() { err = errors.WithMessage(err, "new caller") }()
	cfg = cfg.WithDefaults()
	hc, err := client.NewClient(client.WithDialer(standard.NewDialer()), client.WithDialTimeout(dialTimeout),
		client.WithResponseBodyStream(true), client.WithMaxConnsPerHost(cfg.Connections),
		client.WithClientReadTimeout(time.Duration(cfg.Timeout)))
	if err != nil {
		return nil, err
	}
	return &Caller{cfg: cfg, client: hc}, nil
}

// Close closes the idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Call sends r and reads the complete answer. It leaves Lateness of the outcome unset.
func (c *Caller) Call(ctx context.Context, r dragonflyrequest.Request) dragonflyoutcome.Outcome {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(c.cfg.Timeout))
	defer cancel()
	req, res := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(res)
	a := answer{outcome: dragonflyoutcome.Outcome{Request: r}, sentAt: c.clock.Now(), expect: dragonflyexpectation.New(r.Prompt)}
	raw, err := c.body(r)
	if err != nil {
		return a.outcome.With(dragonflyoutcome.Failed, err.Error())
	}
	c.setHeaders(req, r)
	req.SetBody(raw)
	if err := c.client.Do(ctx, req, res); err != nil {
		return a.outcome.With(dragonflyoutcome.Failed, err.Error())
	}
	defer func() { _ = res.CloseBodyStream() }()
	if res.StatusCode() != http.StatusOK {
		return a.errorOutcome(res)
	}
	events, err := sse.NewReader(res)
	if err != nil {
		return a.outcome.With(dragonflyoutcome.Failed, err.Error())
	}
	err = events.ForEach(ctx, func(e *sse.Event) error { return a.handleEvent(c.clock.Now(), e.Data) })
	return a.finalOutcome(err)
}

func (c *Caller) setHeaders(req *protocol.Request, r dragonflyrequest.Request) {
	req.SetRequestURI(c.cfg.Base + "/v1/completions")
	req.SetMethod(http.MethodPost)
	req.Header.SetContentTypeBytes([]byte("application/json"))
	if r.Key != "" {
		req.SetHeader("Authorization", "Bearer "+r.Key)
	}
	if r.Class != "" {
		req.SetHeader("dragonfly-class", r.Class)
	}
}

func (c *Caller) body(r dragonflyrequest.Request) ([]byte, error) {
	if c.cfg.Form == dragonflyloadsettings.Engine {
		return dragonflyupstreamjson.MarshalCompletion(dragonflyengineevent.Event{ID: r.ID, Prompt: r.Prompt, MaxTokens: r.MaxTokens})
	}
	return json.Marshal(struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
		Stream    bool   `json:"stream"`
	}{c.cfg.Model, r.Prompt, r.MaxTokens, true})
}

// answer is the state of an answer that is being read.
type answer struct {
	outcome     dragonflyoutcome.Outcome
	expect      dragonflyexpectation.Expectation
	sentAt      dragonflyinstant.Instant
	lastTokenAt dragonflyinstant.Instant
	done        bool
	mismatch    error
}

// chunk is an event in the format of an engine or of an entry; the fields of the
// other format stay empty.
type chunk struct {
	Text    string `json:"text"`
	Done    bool   `json:"done"`
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

// text returns the text of the event in either format.
func (c chunk) text() string {
	if len(c.Choices) > 0 {
		return c.Choices[0].Text
	}
	return c.Text
}

func (a *answer) handleEvent(now dragonflyinstant.Instant, data []byte) (err error) {
	if string(data) == "[DONE]" {
		a.done = true
		return nil
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return err
	}
	if c.Error != nil {
		return errors.New(c.Error.Message)
	}
	if c.Done {
		a.done = true
		return nil
	}
	if c.text() == "" {
		return nil
	}
	if a.done {
		a.mismatch = errors.New("a token came after the end")
		return a.mismatch
	}
	a.expect, a.mismatch = a.expect.Check(c.text())
	a.recordTiming(now)
	return a.mismatch
}

func (a *answer) recordTiming(now dragonflyinstant.Instant) {
	if a.lastTokenAt == 0 {
		a.outcome.FirstToken = now.Sub(a.sentAt)
	} else {
		a.outcome.Gaps = append(a.outcome.Gaps, now.Sub(a.lastTokenAt))
	}
	a.lastTokenAt = now
}

// finalOutcome returns the outcome of an answer whose stream ended with err.
func (a *answer) finalOutcome(err error) dragonflyoutcome.Outcome {
	a.outcome.Tokens = a.expect.Count()
	want := a.outcome.Request.MaxTokens
	switch {
	case a.mismatch != nil:
		return a.outcome.With(dragonflyoutcome.Wrong, a.mismatch.Error())
	case err != nil:
		return a.outcome.With(dragonflyoutcome.Failed, err.Error())
	case !a.done:
		return a.outcome.With(dragonflyoutcome.Failed, "the answer broke off without its final event")
	case a.outcome.Tokens < want:
		return a.outcome.With(dragonflyoutcome.Short, errors.Errorf("%d of %d tokens", a.outcome.Tokens, want).Error())
	case a.outcome.Tokens > want:
		return a.outcome.With(dragonflyoutcome.Wrong, errors.Errorf("%d tokens instead of %d", a.outcome.Tokens, want).Error())
	}
	return a.outcome.With(dragonflyoutcome.Completed, "")
}

func (a *answer) errorOutcome(res *protocol.Response) dragonflyoutcome.Outcome {
	detail := errors.Errorf("status %d: %.200s", res.StatusCode(), res.Body()).Error()
	if string(res.Header.Peek("dragonfly-outcome")) == "not-run" {
		return a.outcome.With(dragonflyoutcome.Refused, detail)
	}
	return a.outcome.With(dragonflyoutcome.Failed, detail)
}
