// Package dragonflybodybuffer buffers a body in segments that never move, so that a body that
// grows needs no more memory than has been reserved for it.
package dragonflybodybuffer

import (
	"io"
	"net"

	"github.com/pkg/errors"
)

// ErrTooLarge is returned by Read for a body of more than its limit.
var ErrTooLarge = errors.New("the body is too large")

// ErrNoRoom is returned by Read if no memory may be reserved for the next segment.
var ErrNoRoom = errors.New("there is no memory for the body")

const (
	// firstSegment holds an ordinary body of unknown length.
	firstSegment = 8 << 10
	// maxFirstSegment bounds the memory that an announced length alone takes.
	maxFirstSegment = 64 << 10
	// maxSegment bounds the other segments, each of which is four times as large as the one
	// before.
	maxSegment = 256 << 10
)

// Buffer holds a body. The zero value is empty.
type Buffer struct {
	segments [][]byte
	n        int
	reserved int64
}

// Len returns the number of bytes.
func (b *Buffer) Len() int { return b.n }

// Reserved returns the memory of the segments in bytes.
func (b *Buffer) Reserved() int64 { return b.reserved }

// Segments returns the bytes in order. They must not be changed.
func (b *Buffer) Segments() [][]byte { return b.segments }

// Read appends what r returns up to its end. The length is that which was announced, or -1.
// Reserve is called with the memory of all segments before one is added. It returns
// ErrTooLarge for more than limit bytes, ErrNoRoom if reserve returns false, and otherwise
// the error of r. What has been read until then stays in the buffer.
func (b *Buffer) Read(r io.Reader, length, limit int64, reserve func(bytes int64) bool) error {
	if length > limit {
		return ErrTooLarge
	}
	if length < 0 {
		length = limit + 1 // One more byte shows that the body is too large.
	}
	for {
		last := len(b.segments) - 1
		if last < 0 || len(b.segments[last]) == cap(b.segments[last]) {
			size := b.nextSize(length)
			if !reserve(b.reserved + size) {
				return ErrNoRoom
			}
			b.segments, b.reserved, last = append(b.segments, make([]byte, 0, size)), b.reserved+size, last+1
		}
		s := b.segments[last]
		n, err := r.Read(s[len(s):cap(s)])
		b.segments[last], b.n = s[:len(s)+n], b.n+n
		switch {
		case int64(b.n) > limit:
			return ErrTooLarge
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

// nextSize returns the size of the next segment of a body of at most length bytes.
func (b *Buffer) nextSize(length int64) int64 {
	rest := max(length-int64(b.n), 1)
	if len(b.segments) == 0 {
		if rest <= maxFirstSegment {
			return rest
		}
		return firstSegment
	}
	return min(rest, 4*int64(cap(b.segments[len(b.segments)-1])), maxSegment)
}

// WriteTo implements io.WriterTo. The buffer stays as it is.
func (b *Buffer) WriteTo(w io.Writer) (n int64, err error) {
	all := append(net.Buffers(nil), b.segments...)
	return all.WriteTo(w)
}
