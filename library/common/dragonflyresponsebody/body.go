// Package dragonflyresponsebody reads bodies of responses that only the end of their connection
// ends, and decides whether such an end completes the response.
package dragonflyresponsebody

import (
	"io"

	"github.com/pkg/errors"
)

// Body reads a body that has neither a length nor chunks, while its request may still be
// written.
//
// The operating system reports the reset of a connection once, either to its reader or to its
// writer. If the writer gets it, the reader sees an end like that of a closed connection. Such an
// end completes a response only if its request was written as a whole.
type Body struct {
	io.ReadCloser
	// Written waits until the request has been written or the write has failed, and returns the
	// error. Nil stands for a request that was written before the response was read.
	Written func() error
}

// Read implements io.Reader. In place of io.EOF it returns the error of Written, if there is
// one.
func (b Body) Read(p []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(p)
	switch {
	case err != io.EOF || b.Written == nil:
		return n, err
	case n > 0:
		// What has arrived does not wait. The next read returns the end again.
		return n, nil
	}
	if err := b.Written(); err != nil {
		return 0, errors.WithMessage(err, "the request was not written as a whole")
	}
	return 0, io.EOF
}
