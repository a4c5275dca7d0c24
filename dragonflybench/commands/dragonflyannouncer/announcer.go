// Package dragonflyannouncer tells an agent once a second what its upstream is.
package dragonflyannouncer

import (
	"context"
	"expvar"
	"time"

	"dragonflyrelay.example/dragonflybench/codecs/dragonflyupstreamjson"
	"dragonflyrelay.example/library/values/dragonflyannouncement"
	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"
)

// Period is the time between announcements.
const Period = time.Second

// timeout bounds one announcement, so that a slow agent does not hold the next.
const timeout = 500 * time.Millisecond

var failed = expvar.NewInt("dragonfly-bench-announcements-failed")

// Announcer announces an upstream to the agent at Agent.
type Announcer struct {
	// Agent is the IP and port of the agent; empty for none.
	Agent string
	// Announcement returns what to say and whether to say anything.
	Announcement func() (a dragonflyannouncement.Announcement, ok bool)
}

// Run announces until ctx ends. An agent that cannot be reached is counted and
// tried again at the next period.
func (a Announcer) Run(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "announce") }()
	if a.Agent == "" {
		return nil
	}
	c, err := client.NewClient(client.WithDialer(standard.NewDialer()), client.WithDialTimeout(timeout))
	if err != nil {
		return err
	}
	defer c.CloseIdleConnections()
	t := time.NewTicker(Period)
	defer t.Stop()
	for {
		if err := a.announce(ctx, c); err != nil {
			failed.Add(1)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (a Announcer) announce(ctx context.Context, c *client.Client) (err error) {
	said, ok := a.Announcement()
	if !ok {
		return nil
	}
	raw, err := dragonflyupstreamjson.MarshalAnnouncement(said)
	if err != nil {
		return err
	}
	req, res := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(res)
	req.SetRequestURI("http://" + a.Agent + "/announce")
	req.SetMethod("POST")
	req.Header.SetContentTypeBytes([]byte("application/json"))
	req.SetBody(raw)
	if err := c.DoTimeout(ctx, req, res, timeout); err != nil {
		return err
	}
	if res.StatusCode()/100 != 2 {
		return errors.Errorf("agent answered %d", res.StatusCode())
	}
	return nil
}
