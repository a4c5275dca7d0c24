package dragonflyagentserver

import (
	"context"
	"time"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflyrpcclient"
	"dragonflyrelay.example/library/values/dragonflyannouncement"
	"dragonflyrelay.example/library/values/dragonflyconditions"
	"dragonflyrelay.example/library/values/dragonflygroupevent"
	"dragonflyrelay.example/library/values/dragonflyoccurrence"
	"dragonflyrelay.example/library/values/dragonflyorders"
	"dragonflyrelay.example/library/values/dragonflyreport"
	"github.com/pkg/errors"
)

// Spans of reporting.
const (
	// reportPeriod is the time between reports.
	reportPeriod = dragonflyduration.Second
	// reportTimeout bounds one report, so that two control instances can be
	// tried within the freshness limit of 3 s.
	reportTimeout = 800 * dragonflyduration.Millisecond
	// pokeInterval bounds reports out of turn, so that work with a newer
	// configuration does not cause a storm of them.
	pokeInterval = 100 * dragonflyduration.Millisecond
)

// reporter is what the report duty owns.
type reporter struct {
	s       *Server
	clients []*dragonflyrpcclient.Client
	home    int
	latest  dragonflyinstant.Instant
}

func (s *Server) newReporter() *reporter {
	r := &reporter{s: s}
	for _, addr := range s.Settings.Control {
		r.clients = append(r.clients, &dragonflyrpcclient.Client{Addr: addr, Key: s.key, Connections: 2})
	}
	return r
}

func (r *reporter) close() {
	for _, c := range r.clients {
		c.Close()
	}
}

// runReports reports once a second, and at once when poked.
func (s *Server) runReports(ctx context.Context) error {
	r := s.newReporter()
	defer r.close()
	t := time.NewTicker(time.Duration(reportPeriod))
	defer t.Stop()
	r.round(ctx)
	for {
		select {
		case <-t.C:
			r.round(ctx)
		case <-s.pokeRing.C():
			if s.Clock.Now().Sub(r.latest) >= pokeInterval {
				r.round(ctx)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// reportOnce makes the last report of a shutdown.
func (s *Server) reportOnce(ctx context.Context) {
	r := s.newReporter()
	defer r.close()
	r.round(ctx)
}

// round reports to the home instance of control and, if it does not answer, to
// the others in turn. The one that answers becomes the home instance.
func (r *reporter) round(ctx context.Context) {
	r.latest = r.s.Clock.Now()
	for i := range r.clients {
		n := (r.home + i) % len(r.clients)
		if r.report(ctx, r.clients[n]) == nil {
			r.home = n
			return
		}
		counters.Add("reports-failed", 1)
		if ctx.Err() != nil {
			return
		}
	}
}

func (r *reporter) report(ctx context.Context, c *dragonflyrpcclient.Client) (err error) {
	call, cancel := context.WithTimeout(ctx, time.Duration(reportTimeout))
	defer cancel()
	req, err := dragonflycodec.MarshalReport(r.s.currentReport())
	if err != nil {
		return err
	}
	sent := r.s.Clock.Now()
	res, err := c.Call(call, "/dragonfly.control/Report", req)
	if err != nil {
		return err
	}
	o, err := dragonflycodec.UnmarshalOrders(res)
	if err != nil {
		return errors.WithMessage(err, "answer to report")
	}
	counters.Add("reports", 1)
	return r.s.learn(ctx, sent, o)
}

func (s *Server) currentReport() dragonflyreport.Report {
	g := s.group.Load()
	m := g.Membership()
	r := dragonflyreport.Report{
		Incarnation: s.Incarnation, AgentAddress: s.addrs.Advertise,
		Announcement: m.Upstream(), Alive: m.Alive(),
		Load: s.load.Load(), ConfigVersion: s.control.Load().config.Version(),
		GroupReady: g.Lease().Ready(),
	}
	r.Announcement.Instance = s.Settings.Instance
	if s.Settings.Zone != "" {
		r.Announcement.Zone = s.Settings.Zone
	}
	if m.Leaves() {
		r.Announcement.State = dragonflyannouncement.Leaving
	}
	if g.Lease().Held() {
		r.LostMembers = g.Lease().Lost()
	}
	return withMembership(r, m)
}

// learn takes in what control answered to a report sent at sent.
func (s *Server) learn(ctx context.Context, sent dragonflyinstant.Instant, o dragonflyorders.Orders) error {
	k := s.control.Load()
	if o.HasConfig && o.Config.Version() > k.config.Version() {
		k.config = o.Config
		s.occur(dragonflyoccurrence.Occurrence{Event: "config-adopted"})
	}
	k.confirmedAt = max(k.confirmedAt, sent.Add(-o.ConfirmationAge))
	s.control.Store(k)
	err := s.admitRing.Put(ctx, admitInput{merge: func(c dragonflyconditions.Conditions) dragonflyconditions.Conditions {
		c.Config, c.ConfirmedAt = k.config, k.confirmedAt
		return c
	}})
	if err != nil || o.Order.Kind == 0 {
		return err
	}
	return s.groupRing.Put(ctx, groupInput{ev: dragonflygroupevent.Event{Kind: dragonflygroupevent.Ordered, Order: o.Order}})
}
