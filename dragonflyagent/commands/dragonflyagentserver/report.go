package dragonflyagentserver

import (
	"context"
	"strconv"
	"time"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflyrpcclient"
	"dragonflyrelay.example/library/values/dragonflyannouncement"
	"dragonflyrelay.example/library/values/dragonflygroupevent"
	"dragonflyrelay.example/library/values/dragonflyoccurrence"
	"dragonflyrelay.example/library/values/dragonflyorders"
	"dragonflyrelay.example/library/values/dragonflyreport"
	"github.com/pkg/errors"
)

const (
	reportPeriod = dragonflyduration.Second
	// fastReportPeriod is the time between reports for fastReportWindow after an
	// engine has lost its group, or has started, so that its accelerators do not
	// stay idle waiting for orders.
	fastReportPeriod = 250 * dragonflyduration.Millisecond
	fastReportWindow = 10 * dragonflyduration.Second
	// reportTimeout bounds one report, so that two control instances can be
	// tried within the maximum confirmation age of 3 s.
	reportTimeout = 800 * dragonflyduration.Millisecond
	// minReportInterval limits the rate of reports on request, so that work with a
	// newer configuration does not cause a burst of them.
	minReportInterval = 100 * dragonflyduration.Millisecond
)

// reporter is the state of the report duty.
type reporter struct {
	s             *Server
	clients       []*dragonflyrpcclient.Client
	sequence      uint64                   // of the latest report
	home          int                      // index of the client that reports go to first
	lastReportAt  dragonflyinstant.Instant // when the latest report was started
	lastInGroupAt dragonflyinstant.Instant // when the engine was last part of a live group
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

// runReports reports once a second, more often after a group was lost, and at
// once on request. It ends after the last report of a shutdown: another sender could
// overtake a report on its way, and control would take the older one for the last.
func (s *Server) runReports(ctx context.Context) error {
	r := s.newReporter()
	defer r.close()
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			r.reportWithFailover(ctx)
			t.Reset(time.Duration(r.nextDelay()))
		case <-s.reportRing.C():
			t.Reset(time.Duration(max(minReportInterval-s.Clock.Now().Sub(r.lastReportAt), 0)))
		case done := <-s.lastReportRing.C():
			r.reportWithFailover(ctx)
			close(done)
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// nextDelay returns the time until the next report. An engine that has just lost
// its group reports more often, since control's answer carries the order for the
// next one.
func (r *reporter) nextDelay() dragonflyduration.Duration {
	now := r.s.Clock.Now()
	g := r.s.group.Load()
	m := g.Membership()
	serving := g.Lease().Ready() || m.Group().Kind != 0 && now.Before(m.GroupAliveUntil())
	if serving || m.Upstream().Kind == dragonflyannouncement.Service {
		r.lastInGroupAt = now
		return reportPeriod
	}
	if now.Sub(r.lastInGroupAt) < fastReportWindow {
		return fastReportPeriod
	}
	return reportPeriod
}

// reportLast lets the report duty send its last report, and waits for it.
func (s *Server) reportLast(ctx context.Context) {
	done := make(chan struct{})
	if s.lastReportRing.Put(ctx, done) != nil {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// reportWithFailover reports to the home instance of control and, if it does not
// answer, to the others in turn. The one that answers becomes the home instance.
func (r *reporter) reportWithFailover(ctx context.Context) {
	r.lastReportAt = r.s.Clock.Now()
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
	r.sequence++
	current := r.s.currentReport()
	current.Sequence = r.sequence
	req, err := dragonflycodec.MarshalReport(current)
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
	return r.s.applyOrders(ctx, sent, o)
}

func (s *Server) currentReport() dragonflyreport.Report {
	r := s.group.Load().Report()
	r.Incarnation, r.AgentAddress = s.Incarnation, s.boundSettings.Advertise
	r.Load, r.ConfigVersion = s.load.Load(), s.control.Load().Config().Version()
	if r.Announcement.Instance == "" {
		r.Announcement.Instance = s.Settings.Instance
	}
	if s.Settings.Zone != "" {
		r.Announcement.Zone = s.Settings.Zone
	}
	return r
}

// applyOrders applies control's answer to a report that was sent at sent.
func (s *Server) applyOrders(ctx context.Context, sent dragonflyinstant.Instant, o dragonflyorders.Orders) error {
	old := s.control.Load()
	k := old.WithOrders(sent, o)
	if k.Config().Version() != old.Config().Version() {
		s.addOccurrence(dragonflyoccurrence.Occurrence{Event: "config-adopted", Detail: strconv.FormatUint(k.Config().Version(), 10)})
	}
	s.control.Store(k)
	err := s.admitRing.Put(ctx, admitInput{merge: k.Conditions})
	if err != nil || o.Order.Kind == 0 {
		return err
	}
	return s.groupRing.Put(ctx, groupInput{ev: dragonflygroupevent.Event{Kind: dragonflygroupevent.Ordered, Order: o.Order}})
}
