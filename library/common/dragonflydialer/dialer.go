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

func dialTCP(ctx context.Context, addr string, timeout dragonflyduration.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Duration(timeout)}
	return d.DialContext(ctx, "tcp", addr)
}
