// Package dragonflycontrolclient reads the state of control and proposes changes
// to the configuration.
package dragonflycontrolclient

import (
	"context"
	"time"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyrpcclient"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyresult"
	"dragonflyrelay.example/library/values/dragonflystatus"
	"github.com/pkg/errors"
)

const (
	statusMethod  = "/dragonfly.control/Status"
	proposeMethod = "/dragonfly.control/Propose"
	// attemptTimeout bounds one call to one instance, so that an unreachable
	// instance does not use up the timeout of the command.
	attemptTimeout = 2 * dragonflyduration.Second
	// retryInterval is the delay before the next round of attempts, after no
	// instance returned a definite result.
	retryInterval = 250 * dragonflyduration.Millisecond
)

// Client calls control through any of its instances.
type Client struct {
	// Addresses lists the IP and port of the control instances.
	Addresses []string
	// Key is the internal key that authenticates calls.
	Key string
	// Timeout bounds each call of Status or Propose, with all its attempts.
	Timeout dragonflyduration.Duration
	// Call makes one call; nil uses drpc. An error that wraps
	// dragonflyrpcclient.ErrNotSent or ErrBusy means that nothing was sent.
	Call func(ctx context.Context, addr, rpc string, req []byte) (res []byte, err error)
}

// Status returns the state that the leader reports, or that of the first instance
// that answers if no instance reports itself as the leader.
func (c *Client) Status(ctx context.Context) (s dragonflystatus.Status, err error) {
	defer func() { err = errors.WithMessage(err, "read the state of control") }()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(c.Timeout))
	defer cancel()
	answered := false
	for _, addr := range c.Addresses {
		raw, callErr := c.call(ctx, addr, statusMethod, nil)
		if callErr == nil {
			var got dragonflystatus.Status
			if got, callErr = dragonflycodec.UnmarshalStatus(raw); callErr == nil {
				if got.Leader != "" && got.Leader == got.Instance {
					return got, nil
				}
				if !answered {
					s, answered = got, true
				}
			}
		}
		if callErr != nil {
			err = callErr
		}
	}
	if answered {
		return s, nil
	}
	return s, err
}

// Propose sends the change to one instance after another until one returns a
// definite result. A retry is safe, because control answers a repeated id with the
// first result. Without a definite result within the timeout, the outcome is
// NotRun if no instance can have forwarded the change, and Unavailable otherwise.
func (c *Client) Propose(ctx context.Context, ch dragonflychange.Change) (res dragonflyresult.Result, err error) {
	defer func() { err = errors.WithMessage(err, "propose the change") }()
	raw, err := dragonflycodec.MarshalChange(ch)
	if err != nil {
		return res, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(c.Timeout))
	defer cancel()
	last := dragonflyresult.Result{Outcome: dragonflyresult.NotRun, Message: "no control instance could be reached"}
	for {
		for _, addr := range c.Addresses {
			res := c.proposeOnce(ctx, addr, raw)
			switch res.Outcome {
			case dragonflyresult.NotRun:
			case dragonflyresult.Unavailable:
				last.Outcome = dragonflyresult.Unavailable
			default:
				return res, nil
			}
			if ctx.Err() == nil {
				last.Message = res.Message
			}
		}
		select {
		case <-ctx.Done():
			return last, nil
		case <-time.After(time.Duration(retryInterval)):
		}
	}
}

// proposeOnce sends the change to one instance. An error becomes the outcome NotRun
// if nothing was sent, and Unavailable otherwise.
func (c *Client) proposeOnce(ctx context.Context, addr string, change []byte) dragonflyresult.Result {
	raw, err := c.call(ctx, addr, proposeMethod, change)
	if err == nil {
		var res dragonflyresult.Result
		if res, err = dragonflycodec.UnmarshalResult(raw); err == nil {
			return res
		}
	}
	outcome := dragonflyresult.Unavailable
	if errors.Is(err, dragonflyrpcclient.ErrNotSent) || errors.Is(err, dragonflyrpcclient.ErrBusy) {
		outcome = dragonflyresult.NotRun
	}
	return dragonflyresult.Result{Outcome: outcome, Message: err.Error()}
}

func (c *Client) call(ctx context.Context, addr, rpc string, req []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(min(attemptTimeout, c.Timeout)))
	defer cancel()
	if ctx.Err() != nil {
		return nil, errors.WithMessage(dragonflyrpcclient.ErrNotSent, ctx.Err().Error())
	}
	if c.Call != nil {
		return c.Call(ctx, addr, rpc, req)
	}
	rc := &dragonflyrpcclient.Client{Addr: addr, Key: func() string { return c.Key }, Connections: 1}
	defer rc.Close()
	return rc.Call(ctx, rpc, req)
}
