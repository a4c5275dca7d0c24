// Package dragonflydialer sets up TCP connections to peers that answer within a few
// milliseconds.
package dragonflydialer

import (
	"context"
	"expvar"
	"net"
	"os"
	"time"

	"dragonflyrelay.example/library/common/dragonflyclock"
	"dragonflyrelay.example/library/common/dragonflyduration"
)

const (
	// maxDials bounds the attempts to set up one connection.
	maxDials = 3
	// heldUpBy is how late a dial must time out to show that this process was held up.
	heldUpBy = 50 * dragonflyduration.Millisecond
	// lastPart is the part of the timeout of an attempt that Split leaves to a second one.
	// A peer on the same machine or in another zone answers within a few milliseconds.
	lastPart = 50 * dragonflyduration.Millisecond
)

// Dialer sets up connections. Only Timeout must be set.
type Dialer struct {
	// Timeout bounds one attempt.
	Timeout dragonflyduration.Duration
	// Dial replaces the dialer of the net package if it is not nil.
	Dial func(ctx context.Context, addr string, timeout dragonflyduration.Duration) (net.Conn, error)
	// Clock measures how long an attempt takes.
	Clock dragonflyclock.Clock
	// Attempts counts the attempts if it is not nil.
	Attempts *expvar.Int
}

// Connect sets up a connection to addr.
func (d Dialer) Connect(ctx context.Context, addr string) (conn net.Conn, err error) {
	dial := d.Dial
	if dial == nil {
		dial = dialTCP
	}
	err = d.Repeat(func(timeout dragonflyduration.Duration) (err error) {
		conn, err = dial(ctx, addr, timeout)
		return err
	}, func() bool { return ctx.Err() != nil })
	return conn, err
}

// Repeat calls attempt, and again if it times out late: a process that was paused, or whose
// processor was busy, finds the timeout passed although the peer has answered. It does not
// repeat an attempt once cancelled returns true.
func (d Dialer) Repeat(attempt func(timeout dragonflyduration.Duration) error, cancelled func() bool) (err error) {
	for range maxDials {
		if d.Attempts != nil {
			d.Attempts.Add(1)
		}
		began := d.Clock.Now()
		err = attempt(d.Timeout)
		heldUp := d.Clock.Now().Sub(began) >= d.Timeout+heldUpBy
		if !os.IsTimeout(err) || !heldUp || cancelled() {
			return err
		}
	}
	return err
}

// Split calls attempt with the timeout without its last part, and again with the last part if
// it timed out. A process that did not run until then finds the timeout passed although the
// peer has answered, and no clock shows that if it runs again just in time. The two attempts
// take no longer than the timeout, which a peer that does not answer costs as before.
func Split(timeout dragonflyduration.Duration, attempt func(timeout dragonflyduration.Duration) error) (err error) {
	if timeout < 2*lastPart {
		return attempt(timeout)
	}
	if err = attempt(timeout - lastPart); !os.IsTimeout(err) {
		return err
	}
	return attempt(lastPart)
}

func dialTCP(ctx context.Context, addr string, timeout dragonflyduration.Duration) (conn net.Conn, err error) {
	err = Split(timeout, func(timeout dragonflyduration.Duration) (err error) {
		d := net.Dialer{Timeout: time.Duration(timeout)}
		conn, err = d.DialContext(ctx, "tcp", addr)
		return err
	})
	return conn, err
}
