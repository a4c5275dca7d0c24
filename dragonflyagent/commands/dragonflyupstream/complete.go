package dragonflyupstream

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"dragonflyrelay.example/dragonflyagent/values/dragonflyupstreamresult"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflygrouporder"
	"dragonflyrelay.example/library/values/dragonflywork"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/pkg/errors"
)

// ErrIncomplete is returned for an answer that ended without its last event.
var ErrIncomplete = errors.New("answer ended early")

// ErrRefused is returned for an order that the engine refused because it has seen
// a higher fence.
var ErrRefused = errors.New("engine refused the order")

// maxEventBytes bounds the size of one server-sent event.
const maxEventBytes = 1 << 20

type wireCompletion struct {
	RequestID  string   `json:"request-id"`
	Prompt     string   `json:"prompt"`
	MaxTokens  int      `json:"max-tokens"`
	Priority   int      `json:"priority"`
	ResumeFrom []string `json:"resume-from,omitempty"`
}

type wireEvent struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
	Done  bool   `json:"done"`
	Count int    `json:"count"`
}

// Complete requests the answer to w from the engine at address. It calls started
// once the engine has begun to answer and token for every token; an error of
// either cancels the request. It returns the number of tokens of the whole
// answer, including those that w lists as delivered.
func (c *Client) Complete(ctx context.Context, address string, w dragonflywork.Work, priority int, started func() error, token func(index int, text string) error) (count int, err error) {
	defer func() { err = errors.WithMessage(err, "complete") }()
	body, err := json.Marshal(wireCompletion{
		RequestID: w.Request, Prompt: w.Prompt, MaxTokens: w.MaxTokens, Priority: priority, ResumeFrom: w.Delivered,
	})
	if err != nil {
		return 0, errors.WithMessage(ErrNotSent, err.Error())
	}
	req := newRequest(http.MethodPost, address, "/v1/completions", body)
	defer protocol.ReleaseRequest(req)
	req.Header.SetContentTypeBytes([]byte("application/json"))
	err = c.do(ctx, req, func(res *protocol.Response) error {
		if res.StatusCode() != http.StatusOK {
			return errors.Errorf("engine answered status %d", res.StatusCode())
		}
		if err := started(); err != nil {
			return err
		}
		count, err = readEvents(res, token)
		return err
	})
	return count, err
}

func readEvents(res *protocol.Response, token func(index int, text string) error) (count int, err error) {
	r, err := sse.NewReader(res)
	if err != nil {
		return 0, err
	}
	r.SetMaxBufferSize(maxEventBytes)
	e := sse.NewEvent()
	defer e.Release()
	for {
		if err := r.Read(e); err != nil {
			return 0, errors.WithMessage(ErrIncomplete, err.Error())
		}
		var ev wireEvent
		if err := json.Unmarshal(e.Data, &ev); err != nil {
			return 0, err
		}
		if ev.Done {
			return ev.Count, nil
		}
		if err := token(ev.Index, ev.Text); err != nil {
			return 0, err
		}
	}
}

type wireOrder struct {
	Order string   `json:"order"`
	Group uint64   `json:"group"`
	Fence uint64   `json:"fence"`
	Model string   `json:"model"`
	Rank  int      `json:"rank"`
	Ranks []string `json:"ranks"`
}

// Order orders the engine at address to load (or unload) the rank of instance
// self in the group of o. An error that wraps ErrNotSent or ErrRefused means that
// the engine has not executed the order; after any other error it may have.
func (c *Client) Order(ctx context.Context, address, self string, load bool, o dragonflygrouporder.Order) (err error) {
	defer func() { err = errors.WithMessage(err, "order engine") }()
	wire := wireOrder{Order: "unload", Group: o.Group, Fence: o.Fence, Model: o.Model}
	if load {
		wire.Order = "load"
	}
	for rank, m := range o.Members {
		wire.Ranks = append(wire.Ranks, m.EngineAddress)
		if m.Instance == self {
			wire.Rank = rank
		}
	}
	body, err := json.Marshal(wire)
	if err != nil {
		return errors.WithMessage(ErrNotSent, err.Error())
	}
	timeout := c.OrderTimeout
	if timeout <= 0 {
		timeout = DefaultOrderTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(timeout))
	defer cancel()
	req := newRequest(http.MethodPost, address, "/orders", body)
	defer protocol.ReleaseRequest(req)
	req.Header.SetContentTypeBytes([]byte("application/json"))
	return c.do(ctx, req, func(res *protocol.Response) error {
		switch status := res.StatusCode(); {
		case status == http.StatusConflict:
			return ErrRefused
		case status >= 300:
			return errors.Errorf("engine answered status %d", status)
		default:
			return nil
		}
	})
}

// Call forwards the call of w to the plain service at address and returns the
// complete response. A timeout of 0 means DefaultCallTimeout. An error that wraps
// ErrNotSent means that the service has not seen the call.
func (c *Client) Call(ctx context.Context, address string, w dragonflywork.Work, timeout dragonflyduration.Duration) (r dragonflyupstreamresult.Result, err error) {
	defer func() { err = errors.WithMessage(err, "call service") }()
	if !strings.HasPrefix(w.Path, "/") {
		return r, errors.WithMessagef(ErrNotSent, "path %q does not start with a slash", w.Path)
	}
	if timeout <= 0 {
		timeout = DefaultCallTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(timeout))
	defer cancel()
	req := newRequest(w.Method, address, w.Path, w.Body)
	defer protocol.ReleaseRequest(req)
	for _, h := range w.Headers {
		if !isHopByHop(h[0]) {
			req.Header.Add(h[0], h[1])
		}
	}
	req.Header.Set("dragonfly-request-id", w.Request)
	err = c.do(ctx, req, func(res *protocol.Response) error {
		r, err = readResponse(res)
		return err
	})
	return r, err
}

func readResponse(res *protocol.Response) (r dragonflyupstreamresult.Result, err error) {
	r.Status = res.StatusCode()
	res.Header.VisitAll(func(k, v []byte) {
		if !isHopByHop(string(k)) {
			r.Headers = append(r.Headers, [2]string{string(k), string(v)})
		}
	})
	r.Body, err = readBody(res)
	return r, err
}

// isHopByHop reports whether the header applies to a single connection, so that
// it must not be forwarded.
func isHopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "te", "trailer",
		"transfer-encoding", "upgrade", "host", "content-length":
		return true
	}
	return false
}
