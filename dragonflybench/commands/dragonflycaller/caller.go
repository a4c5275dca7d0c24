// Package dragonflycaller asks an entry or an engine for completions and checks
// every token of the answers.
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

// dialTimeout bounds connecting on loopback.
const dialTimeout = time.Second

// Caller calls one base URL. Use New.
type Caller struct {
	cfg    dragonflyloadsettings.Settings
	client *client.Client
	clock  dragonflyclock.Clock
}

// New returns a caller for the base, form, model, timeout and connections of cfg.
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

// Call sends r and reads the whole answer. Late is left to the caller of Call.
func (c *Caller) Call(ctx context.Context, r dragonflyrequest.Request) dragonflyoutcome.Outcome {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(c.cfg.Timeout))
	defer cancel()
	req, res := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(res)
	a := answer{outcome: dragonflyoutcome.Outcome{Request: r}, sent: c.clock.Now(), expect: dragonflyexpectation.New(r.Prompt)}
	raw, err := c.body(r)
	if err != nil {
		return a.outcome.With(dragonflyoutcome.Failed, err.Error())
	}
	c.head(req, r)
	req.SetBody(raw)
	if err := c.client.Do(ctx, req, res); err != nil {
		return a.outcome.With(dragonflyoutcome.Failed, err.Error())
	}
	defer func() { _ = res.CloseBodyStream() }()
	if res.StatusCode() != http.StatusOK {
		return a.refused(res)
	}
	events, err := sse.NewReader(res)
	if err != nil {
		return a.outcome.With(dragonflyoutcome.Failed, err.Error())
	}
	err = events.ForEach(ctx, func(e *sse.Event) error { return a.event(c.clock.Now(), e.Data) })
	return a.finished(err)
}

func (c *Caller) head(req *protocol.Request, r dragonflyrequest.Request) {
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

// answer is the state of one answer while it is read.
type answer struct {
	outcome dragonflyoutcome.Outcome
	expect  dragonflyexpectation.Expectation
	sent    dragonflyinstant.Instant
	last    dragonflyinstant.Instant
	done    bool
	wrong   error
}

// chunk is any event of an engine or an entry; unused fields stay empty.
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

// text returns the text of the event in either form.
func (w chunk) text() string {
	if len(w.Choices) > 0 {
		return w.Choices[0].Text
	}
	return w.Text
}

func (a *answer) event(now dragonflyinstant.Instant, data []byte) (err error) {
	if string(data) == "[DONE]" {
		a.done = true
		return nil
	}
	var w chunk
	if err := json.Unmarshal(data, &w); err != nil {
		return err
	}
	if w.Error != nil {
		return errors.New(w.Error.Message)
	}
	if w.Done {
		a.done = true
		return nil
	}
	if w.text() == "" {
		return nil
	}
	if a.done {
		a.wrong = errors.New("a token came after the end")
		return a.wrong
	}
	a.expect, a.wrong = a.expect.Check(w.text())
	a.measure(now)
	return a.wrong
}

func (a *answer) measure(now dragonflyinstant.Instant) {
	if a.last == 0 {
		a.outcome.FirstToken = now.Sub(a.sent)
	} else {
		a.outcome.Gaps = append(a.outcome.Gaps, now.Sub(a.last))
	}
	a.last = now
}

// finished decides on an answer whose stream ended with err.
func (a *answer) finished(err error) dragonflyoutcome.Outcome {
	a.outcome.Tokens = a.expect.Count()
	want := a.outcome.Request.MaxTokens
	switch {
	case a.wrong != nil:
		return a.outcome.With(dragonflyoutcome.Wrong, a.wrong.Error())
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

func (a *answer) refused(res *protocol.Response) dragonflyoutcome.Outcome {
	detail := errors.Errorf("status %d: %.200s", res.StatusCode(), res.Body()).Error()
	if string(res.Header.Peek("dragonfly-outcome")) == "not-run" {
		return a.outcome.With(dragonflyoutcome.Refused, detail)
	}
	return a.outcome.With(dragonflyoutcome.Failed, detail)
}
