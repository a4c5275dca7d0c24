package dragonflytestsystem

import (
	"context"
	"time"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/common/dragonflyrpcclient"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyresult"
	"dragonflyrelay.example/library/values/dragonflystatus"
	"github.com/pkg/errors"
)

const (
	// retryPause is the time between two rounds of requests to the control
	// instances; it is the resolution of the measured time without a leader.
	retryPause = 10 * time.Millisecond
	// callTimeout bounds one call. It is longer than the time that control may
	// take to confirm that a change is durable.
	callTimeout = time.Second
)

// clients holds one client for each control instance.
type clients struct {
	byAddr map[string]*dragonflyrpcclient.Client
}

func (c *clients) get(addr string) *dragonflyrpcclient.Client {
	if c.byAddr == nil {
		c.byAddr = map[string]*dragonflyrpcclient.Client{}
	}
	if c.byAddr[addr] == nil {
		c.byAddr[addr] = &dragonflyrpcclient.Client{Addr: addr, Key: func() string { return internalKey }, Connections: 2}
	}
	return c.byAddr[addr]
}

func (c *clients) close() {
	for _, client := range c.byAddr {
		client.Close()
	}
}

// Propose sends a change to the control instances in turn until it is accepted or
// ctx ends. A rejection other than not-run or unavailable is an error.
func (s *System) Propose(ctx context.Context, ch dragonflychange.Change) (res dragonflyresult.Result, err error) {
	defer func() { err = errors.WithMessagef(err, "propose %s", ch.ID) }()
	raw, err := dragonflycodec.MarshalChange(ch)
	if err != nil {
		return res, err
	}
	for {
		for _, addr := range s.controls {
			res, err := s.proposeTo(ctx, addr, raw)
			if err != nil {
				continue // The instance is down or has no leader.
			}
			switch res.Outcome {
			case dragonflyresult.Accepted:
				return res, nil
			case dragonflyresult.NotRun, dragonflyresult.Unavailable:
			default:
				return res, errors.Errorf("change rejected: %s", res.Message)
			}
		}
		if err := pause(ctx, retryPause); err != nil {
			return res, err
		}
	}
}

func (s *System) proposeTo(ctx context.Context, addr string, raw []byte) (res dragonflyresult.Result, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out, err := s.clients.get(addr).Call(ctx, "/dragonfly.control/Propose", raw)
	if err != nil {
		return res, err
	}
	return dragonflycodec.UnmarshalResult(out)
}

// Status returns the state of the leader of control. It returns an error if no
// instance that responds is the leader.
func (s *System) Status(ctx context.Context) (st dragonflystatus.Status, err error) {
	defer func() { err = errors.WithMessage(err, "read the state of control") }()
	for _, addr := range s.controls {
		if st, err = s.statusOf(ctx, addr); err == nil && st.Leader == st.Instance && st.Leader != "" {
			return st, nil
		}
	}
	if err == nil {
		err = errors.New("no instance is the leader")
	}
	return st, err
}

func (s *System) statusOf(ctx context.Context, addr string) (st dragonflystatus.Status, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	raw, err := s.clients.get(addr).Call(ctx, "/dragonfly.control/Status", nil)
	if err != nil {
		return st, err
	}
	return dragonflycodec.UnmarshalStatus(raw)
}

// WaitUntil calls f repeatedly, with a pause of interval between the calls, until f
// returns true or ctx ends, which is an error.
func WaitUntil(ctx context.Context, interval time.Duration, f func() bool) error {
	for !f() {
		if err := pause(ctx, interval); err != nil {
			return err
		}
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
