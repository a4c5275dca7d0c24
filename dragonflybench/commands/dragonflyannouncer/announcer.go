// Package dragonflyannouncer announces an upstream to its agent once a second.
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

// timeout bounds one announcement, so that a slow agent does not delay the next
// one.
const timeout = 500 * time.Millisecond

var failedAnnouncements = expvar.NewInt("dragonfly-bench-announcements-failed")

// Announcer announces an upstream to the agent at Agent.
type Announcer struct {
	// Agent is the IP address and port of the agent, empty if there is none.
	Agent string
	// Announcement returns the announcement to send; ok is false if none is to be
	// sent.
	Announcement func() (a dragonflyannouncement.Announcement, ok bool)
}

// Run sends announcements until ctx ends. A failed announcement is counted, and
// the next period sends a new one.
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
			failedAnnouncements.Add(1)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (a Announcer) announce(ctx context.Context, c *client.Client) (err error) {
	ann, ok := a.Announcement()
	if !ok {
		return nil
	}
	raw, err := dragonflyupstreamjson.MarshalAnnouncement(ann)
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
		return errors.Errorf("agent responded with status %d", res.StatusCode())
	}
	return nil
}
