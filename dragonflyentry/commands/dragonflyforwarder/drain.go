package dragonflyforwarder

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
)

const (
	// deregistrationDelay is how long new connections are accepted after the entry
	// has stopped being ready. The load balancer in front notices after two health
	// checks, a second apart.
	deregistrationDelay = 2500 * dragonflyduration.Millisecond
	// exitMargin is the part of the grace period that is kept for the exit of the
	// process.
	exitMargin = 300 * dragonflyduration.Millisecond
	// answerMargin is the time before the end of the shutdown at which requests that are
	// still in progress are answered, so that the answers reach their callers.
	answerMargin = 100 * dragonflyduration.Millisecond
	// defaultGrace is the grace period of a shutdown if the settings name none.
	defaultGrace = 10 * dragonflyduration.Second
)

// shutdown is the course of the entry's shutdown. The zero value stands for none.
type shutdown struct {
	deregistered dragonflyinstant.Instant // from when the load balancer opens no connections
	end          dragonflyinstant.Instant // when requests in progress are ended
}

// newShutdown returns the course of a shutdown that begins at now, and the time after which
// the remaining connections are closed.
func newShutdown(now dragonflyinstant.Instant, grace dragonflyduration.Duration) (d shutdown, closeAfter dragonflyduration.Duration) {
	if grace <= 0 {
		grace = defaultGrace
	}
	closeAfter = grace - exitMargin
	return shutdown{deregistered: now.Add(min(deregistrationDelay, grace/2)), end: now.Add(closeAfter - answerMargin)}, closeAfter
}

// isDraining reports whether the shutdown has begun.
func (d shutdown) isDraining() bool { return d.end != 0 }

// refuses reports whether a request that has been read whole at now, and may take until
// deadline, is refused because it might be cut off. Until the load balancer opens no more
// connections here, each request is taken.
func (d shutdown) refuses(now, deadline dragonflyinstant.Instant) bool {
	return d.isDraining() && now >= d.deregistered && deadline > d.end
}

// drain marks the entry as not ready and waits for the requests in progress, at most
// for the grace period.
func (s *Server) drain(server *http.Server, endRequests context.CancelFunc) {
	course, closeAfter := newShutdown(s.Clock.Now(), s.Settings.Grace)
	slog.Info("entry draining", "entry", s.Settings.Name, "grace-ms", (closeAfter + exitMargin).Milliseconds())
	s.shutdown.Store(course)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(closeAfter))
	defer cancel()
	ending := time.AfterFunc(time.Duration(closeAfter-answerMargin), endRequests)
	defer ending.Stop()
	timer := time.NewTimer(time.Duration(course.deregistered.Sub(s.Clock.Now())))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	if err := server.Shutdown(ctx); err != nil {
		slog.Warn("closed connections with requests in progress at the end of the grace period", "entry", s.Settings.Name, "error", err)
		_ = server.Close()
	}
}
