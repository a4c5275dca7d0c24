// Package dragonflyupstream is the HTTP client for the agent's upstream. It
// records for every request whether any byte may have reached the upstream.
package dragonflyupstream

import (
	"context"
	"net/http"
	"sync"
	"time"

	"dragonflyrelay.example/library/common/dragonflyclock"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"
)

const (
	// DefaultDialTimeout is short because the upstream is on the same instance.
	DefaultDialTimeout = 500 * dragonflyduration.Millisecond
	// DefaultOrderTimeout bounds the engine's answer to an order.
	DefaultOrderTimeout = 10 * dragonflyduration.Second
	// DefaultCallTimeout bounds a call to a plain service.
	DefaultCallTimeout = 30 * dragonflyduration.Second
	// maxBodyBytes bounds the body of a service's response, which must fit into one
	// message to the entry.
	maxBodyBytes = 3 << 20
)

// ErrNotSent is wrapped by the errors of requests of which no byte can have
// reached the upstream.
var ErrNotSent = errors.New("request was not sent to the upstream")

// Client sends requests to one upstream. Every request has its own connection,
// for two reasons: a request on a reused connection may be lost without an
// indication whether the upstream has seen it, and a request is cancelled by
// closing its connection. The zero value is ready for use.
type Client struct {
	// DialTimeout bounds connecting; 0 means DefaultDialTimeout.
	DialTimeout dragonflyduration.Duration
	// OrderTimeout bounds an order with its answer; 0 means DefaultOrderTimeout.
	OrderTimeout dragonflyduration.Duration
	// Dial replaces the dialer of the HTTP client if it is not nil.
	Dial func(address string, timeout dragonflyduration.Duration) (network.Conn, error)
	// Clock measures how long a dial takes.
	Clock dragonflyclock.Clock

	mu   sync.Mutex
	idle []*requestClient
}

// requestClient sends one request at a time.
type requestClient struct {
	http *client.Client
	dial *dialer
}

func (c *Client) acquire() (s *requestClient, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.idle); n > 0 {
		s = c.idle[n-1]
		c.idle = c.idle[:n-1]
		return s, nil
	}
	s = &requestClient{dial: &dialer{dial: c.Dial, clock: c.Clock}}
	if s.dial.dial == nil {
		s.dial.dial = dialTCP
	}
	timeout := c.DialTimeout
	if timeout <= 0 {
		timeout = DefaultDialTimeout
	}
	s.http, err = client.NewClient(client.WithDialer(s.dial), client.WithKeepAlive(false),
		client.WithDialTimeout(time.Duration(timeout)), client.WithResponseBodyStream(true),
		client.WithDisablePathNormalizing(true), client.WithNoDefaultUserAgentHeader(true), streamUnframedBodies)
	return s, err
}

// streamUnframedBodies makes the HTTP client pass on a body without a length or chunks as it
// arrives. Without a bound, the client reads such a body whole into memory first.
var streamUnframedBodies = config.ClientOption{F: func(o *config.ClientOptions) { o.MaxResponseBodySize = 1 }}

func (c *Client) release(s *requestClient) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, s)
}

// do sends one request and passes the response, whose body is a stream, to read.
// Cancelling ctx closes the connection, also during read. An error that wraps
// ErrNotSent means that the upstream has not seen the request.
func (c *Client) do(ctx context.Context, req *protocol.Request, read func(res *protocol.Response) error) (err error) {
	s, err := c.acquire()
	if err != nil {
		return errors.WithMessage(ErrNotSent, err.Error())
	}
	defer c.release(s)
	abort := s.dial.reset()
	stop := context.AfterFunc(ctx, abort)
	defer stop()
	res := protocol.AcquireResponse()
	defer protocol.ReleaseResponse(res)
	// Close the connection first: releasing an unfinished response would otherwise
	// read the rest of its body.
	defer abort()
	err = s.http.Do(ctx, req, res)
	if invalid := s.dial.headRead(); err == nil {
		err = invalid
	}
	if status := res.StatusCode(); err == nil && status < http.StatusOK {
		// The HTTP client skips one interim response and takes the next one for the answer.
		err = errors.Errorf("interim response %d in place of an answer", status)
	}
	if err == nil {
		err = read(res)
	}
	if err == nil {
		err = s.dial.readFailure()
	}
	if err == nil {
		return nil
	}
	if ctx.Err() != nil {
		err = errors.WithMessage(ctx.Err(), err.Error())
	}
	if !s.dial.mayHaveSent() {
		return errors.WithMessage(ErrNotSent, err.Error())
	}
	return err
}

func newRequest(method, address, path string, body []byte) *protocol.Request {
	req := protocol.AcquireRequest()
	req.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	if method != http.MethodGet && method != http.MethodHead || len(body) > 0 {
		req.SetBodyRaw(body)
	}
	return req
}
