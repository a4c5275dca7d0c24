// Package dragonflydialer repeats dials that timed out because this process did not run.
package dragonflydialer

import (
	"os"

	"dragonflyrelay.example/library/common/dragonflyclock"
	"dragonflyrelay.example/library/common/dragonflyduration"
)

const (
	// maxDials bounds the attempts to set up one connection.
	maxDials = 3
	// heldUpBy is how late a dial must time out to show that this process was held up.
	heldUpBy = 50 * dragonflyduration.Millisecond
)

// Dialer sets up a connection in one or more attempts.
type Dialer struct {
	// Timeout bounds one attempt.
	Timeout dragonflyduration.Duration
	// Clock measures how long an attempt takes.
	Clock dragonflyclock.Clock
}

// Dial calls attempt, and again if it times out late: a process that was paused, or whose
// processor was busy, finds the timeout passed although the peer has answered. It does not
// repeat an attempt once cancelled returns true.
func (d Dialer) Dial(attempt func(timeout dragonflyduration.Duration) error, cancelled func() bool) (err error) {
	for range maxDials {
		began := d.Clock.Now()
		err = attempt(d.Timeout)
		heldUp := d.Clock.Now().Sub(began) >= d.Timeout+heldUpBy
		if !os.IsTimeout(err) || !heldUp || cancelled() {
			return err
		}
	}
	return err
}
