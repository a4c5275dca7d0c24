package dragonflyagentserver

import (
	"context"
	"net"
	"syscall"
	"time"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflygroupevent"
	"dragonflyrelay.example/library/values/dragonflyoccurrence"
	"github.com/pkg/errors"
)

const (
	// probePeriod is short enough for the head of the group to learn of a dead
	// engine within the lease. Missing announcements are noticed only after 3 s.
	probePeriod = 400 * dragonflyduration.Millisecond
	// probeTimeout bounds connecting. A timeout does not count as a failure, since
	// a slow upstream is not a dead one.
	probeTimeout = 200 * dragonflyduration.Millisecond
)

// runProbes connects to the upstream periodically. An address that refuses
// connections has lost its process.
func (s *Server) runProbes(ctx context.Context) error {
	t := time.NewTicker(time.Duration(probePeriod))
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
		m := s.group.Load().Membership()
		if !m.Alive() || !refusesConnections(ctx, m.Upstream().Address) {
			continue
		}
		counters.Add("upstream-lost", 1)
		s.addOccurrence(dragonflyoccurrence.Occurrence{Event: "upstream-lost"})
		if err := s.groupRing.Put(ctx, groupInput{ev: dragonflygroupevent.Event{Kind: dragonflygroupevent.UpstreamLost}}); err != nil {
			return nil
		}
	}
}

// refusesConnections reports whether a connection to address is refused.
func refusesConnections(ctx context.Context, address string) bool {
	d := net.Dialer{Timeout: time.Duration(probeTimeout)}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
