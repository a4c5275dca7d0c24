// Package dragonflyfailurecause names why an exchange with another process failed. The text of
// an error may quote what that process has sent, which may belong to another request, and which
// neither callers nor counters may get.
package dragonflyfailurecause

import (
	"context"
	"io"
	"net"
	"os"
	"syscall"

	"github.com/pkg/errors"
)

// Cause is one of a fixed set of descriptions.
type Cause string

// The causes.
const (
	Closed      Cause = "the connection was closed"
	Reset       Cause = "the connection was reset"
	Refused     Cause = "the connection was refused"
	Unreachable Cause = "the host cannot be reached"
	TimedOut    Cause = "the time was over"
	Cancelled   Cause = "it was cancelled"
	Failed      Cause = "the connection failed"
	// Malformed is the cause of errors that are not of the connection: bytes have arrived
	// that are no answer.
	Malformed Cause = "the bytes are no answer"
)

// causes are the errors with a cause of their own, in the order in which they are looked for.
var causes = []struct {
	err   error
	cause Cause
}{
	{context.Canceled, Cancelled},
	{context.DeadlineExceeded, TimedOut},
	{os.ErrDeadlineExceeded, TimedOut},
	{syscall.ECONNRESET, Reset},
	{syscall.EPIPE, Reset},
	{syscall.ECONNREFUSED, Refused},
	{syscall.EHOSTUNREACH, Unreachable},
	{syscall.ENETUNREACH, Unreachable},
	{syscall.ETIMEDOUT, TimedOut},
	{io.EOF, Closed},
	{io.ErrUnexpectedEOF, Closed},
	{net.ErrClosed, Closed},
}

// Of returns the cause of err. The text of err is never part of it.
func Of(err error) Cause {
	for _, c := range causes {
		if errors.Is(err, c.err) {
			return c.cause
		}
	}
	var netErr net.Error
	switch {
	case !errors.As(err, &netErr):
		return Malformed
	case netErr.Timeout():
		return TimedOut
	default:
		return Failed
	}
}
