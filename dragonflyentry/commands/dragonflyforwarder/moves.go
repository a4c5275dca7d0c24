package dragonflyforwarder

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"time"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflybalanceevent"
	"dragonflyrelay.example/library/values/dragonflychoice"
)

const (
	// moveCheckInterval is the time between two checks for streams that should move. It
	// adds to the gap that callers see in their streams.
	moveCheckInterval = 40 * time.Millisecond
	// droppedTimeout is the longest time for which streams go on at a head that has left the
	// routing table. Control reuses the members of a head that no longer listens
	// after a second, and no stream of it may last longer.
	droppedTimeout = 400 * dragonflyduration.Millisecond
)

// movesDuty moves streams away from endpoints that are silent or have left the routing
// table. A stream leaves its endpoint only once another one has been chosen for it,
// because a silent endpoint may go on.
type movesDuty struct {
	owner  *Server
	failed map[string]dragonflyinstant.Instant // latest choice without an endpoint, by moveKey
}

func newMovesDuty(s *Server) *movesDuty {
	return &movesDuty{owner: s, failed: map[string]dragonflyinstant.Instant{}}
}

// Run checks the streams until ctx ends, and reports the speeds of endpoints to the
// balance duty.
func (d *movesDuty) Run(ctx context.Context) error {
	ticker := time.NewTicker(moveCheckInterval)
	defer ticker.Stop()
	for {
		changed := d.owner.tableChanged.Changed()
		if err := d.check(ctx); err != nil {
			return err
		}
		select {
		case <-ticker.C:
		case <-changed:
			clear(d.failed)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (d *movesDuty) check(ctx context.Context) error {
	s := d.owner
	now := s.Clock.Now()
	var silent []string
	s.streams.BeginCheck(now)
	s.streams.Silences(now, func(id string, isSilent, changed bool, streams int, silence dragonflyduration.Duration) {
		if isSilent {
			silent = append(silent, id)
		}
		switch {
		case isSilent && changed:
			slog.Warn("endpoint is silent", "endpoint", id, "streams", streams, "silence-ms", silence.Milliseconds())
		case changed:
			slog.Info("endpoint is no longer silent", "endpoint", id, "streams", streams)
		}
	})
	err := s.balance.put(ctx, dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Measured, Speeds: s.streams.Speeds(now)})
	if err != nil {
		return err
	}
	if err := d.move(ctx, now, silent); err != nil {
		return err
	}
	s.streams.EndDropped(now, droppedTimeout, func(x *exchange) { x.abort() })
	return nil
}

// move moves the suspected streams for which there is another endpoint. The silent ones
// are no use to them.
func (d *movesDuty) move(ctx context.Context, now dragonflyinstant.Instant, silent []string) error {
	s := d.owner
	for _, x := range s.streams.Suspects(now) {
		key := x.moveKey()
		if at, ok := d.failed[key]; ok && now.Sub(at) < resumePollInterval || !x.canMove(now) {
			continue
		}
		ev := x.move
		ev.Exclude = slices.Concat(ev.Exclude, silent)
		c, err := s.balance.choose(ctx, ev)
		if err != nil {
			return err
		}
		if !c.OK {
			d.failed[key] = now
			continue
		}
		if !s.streams.Move(x.endpoint.ID, x, s.Clock.Now(), func(dropped bool) bool { return x.moveTo(c, dropped) }) {
			s.returnChoice(ctx, c, x.move.Tokens)
		}
	}
	for key, at := range d.failed {
		if now.Sub(at) >= resumePollInterval {
			delete(d.failed, key)
		}
	}
	return nil
}

// returnChoice returns a choice that is not used to the balance duty.
func (s *Server) returnChoice(ctx context.Context, c dragonflychoice.Choice, tokens float64) {
	_ = s.balance.put(context.WithoutCancel(ctx), dragonflybalanceevent.Event{
		Kind: dragonflybalanceevent.Ended, ID: c.Endpoint.ID, Tokens: tokens, Outcome: dragonflybalanceevent.Abandoned,
	})
}

// phase says whether a stream in progress may move to another endpoint.
type phase = uint32

const (
	pinned  phase = iota // it passes events on, or another endpoint cannot continue it
	movable              // it waits for the next event
	moved                // its connection is closed, and another endpoint is to continue it
)

// moveKey identifies the streams for which the balance core chooses among the same
// endpoints.
func (x *exchange) moveKey() string {
	return x.move.Service + " " + x.move.Model + " " + strings.Join(x.move.Exclude, " ")
}

// canMove reports whether another endpoint may continue the stream.
func (x *exchange) canMove(now dragonflyinstant.Instant) bool {
	return x.phase.Load() == movable && x.q.deadline.Sub(now) >= minAttemptTime &&
		!x.q.owner.parts.latest.Load().Quarantines(x.q.keys)
}

// moveTo closes the connection of the stream, so that c's endpoint continues it. It
// returns false if the stream can't move.
func (x *exchange) moveTo(c dragonflychoice.Choice, dropped bool) bool {
	if !x.phase.CompareAndSwap(movable, moved) {
		return false
	}
	x.next, x.leftSilent = &c, !dropped
	x.close(dropped)
	return true
}

// abort closes the connection of a stream whose endpoint has left the routing table, so that
// control can reuse the members of its group. An upstream without a group may have left it
// only because control has not heard of it, and is still at work.
func (x *exchange) abort() {
	if x.endpoint.Group != "" {
		x.close(true)
	}
}

func (x *exchange) close(dropped bool) {
	reason := reasonSilent
	if dropped {
		reason = reasonGone
	}
	x.closeReason.CompareAndSwap(nil, &reason)
	_ = x.conn.Close()
}

// Reasons for which the moves duty closes the connection of a stream.
const (
	reasonGone   = "the endpoint is gone"
	reasonSilent = "the endpoint is silent"
)

// hold keeps the stream at its endpoint while events are passed on. It returns false if
// the stream has moved: events that came too late for the move must not be passed on.
func (x *exchange) hold() bool {
	return x.phase.CompareAndSwap(movable, pinned) || x.phase.Load() != moved
}

// release allows the stream to move again if another endpoint can continue it.
func (x *exchange) release() {
	if x.mayMove && x.q.canContinue() {
		x.q.race.release(x)
	}
}
