package dragonflyforwarder

import (
	"io"

	"github.com/pkg/errors"
)

// maxHeadBytes bounds the head of a response, with those of interim responses before
// it. An upstream in trouble may send bytes without end where a head is due, and the
// parser would keep all of them.
const maxHeadBytes = 64 << 10

// errHeadTooLarge is returned by the read that passes maxHeadBytes.
var errHeadTooLarge = errors.New("the head of the response is too large")

// headLimiter reads from r and bounds the bytes read until Lift is called.
type headLimiter struct {
	r      io.Reader
	read   int
	lifted bool
}

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (n int, err error) {
	if l.lifted {
		return l.r.Read(p)
	}
	if l.read >= maxHeadBytes {
		return 0, errHeadTooLarge
	}
	n, err = l.r.Read(p[:min(len(p), maxHeadBytes-l.read)])
	l.read += n
	return n, err
}

// Lift ends the bound once the head is complete.
func (l *headLimiter) Lift() { l.lifted = true }
