package dragonflyboundedlistener

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"

	"github.com/pkg/errors"
)

const (
	// maxHeadBytes bounds the head of a request.
	maxHeadBytes = 64 << 10
	// readBytes is how much is read at a time where the size of a request is not known yet.
	readBytes = 2 << 10
	// maxSegment bounds the parts of a buffered body.
	maxSegment = 64 << 10
)

// segments keeps the largest parts of bodies for reuse, so that many bodies one after the
// other leave no garbage behind.
var segments = sync.Pool{New: func() any { return new([maxSegment]byte) }}

// newSegment returns an empty slice with a capacity of size bytes.
func newSegment(size int64) []byte {
	if size < maxSegment {
		return make([]byte, 0, size)
	}
	return segments.Get().(*[maxSegment]byte)[:0]
}

// freeSegment ends the use of a slice of newSegment.
func freeSegment(s []byte) {
	if cap(s) == maxSegment {
		segments.Put((*[maxSegment]byte)(s[:maxSegment]))
	}
}

// errRefused ends a connection whose request has been refused.
var errRefused = errors.New("the request was refused")

// requestReader passes the requests of a connection on once they are whole, with a length in
// place of chunks. The server behind it takes memory for a body when it reads its head, and
// several times as much for a chunked one, so that it must not see those that do not end.
// A read that was interrupted may be repeated.
type requestReader struct {
	c       *conn
	in      []byte   // read and not used yet, the end of buf
	buf     []byte   // kept until a request is passed on
	out     [][]byte // whole requests that are not passed on yet
	at      int      // how much of the first part of out has been passed on
	head    []byte   // of the request that arrives, nil if its head is not whole
	body    [][]byte
	size    int64 // of the body so far
	left    int64 // of the body or the chunk that is still to come
	chunked bool
	chunks  chunkReader
}

// Read returns parts of whole requests.
func (r *requestReader) Read(p []byte) (n int, err error) {
	for len(r.out) == 0 {
		if !r.c.answered.Load() || r.c.busy.Load() {
			return 0, r.awaitClose()
		}
		if err := r.advance(); err != nil {
			return 0, err
		}
	}
	n = copy(p, r.out[0][r.at:])
	if r.at += n; r.at == len(r.out[0]) {
		freeSegment(r.out[0])
		r.out, r.at = r.out[1:], 0
	}
	if len(r.out) == 0 {
		r.c.answered.Store(false)
	}
	return n, nil
}

// awaitClose reads while a request is worked on, so that the end of the connection is noticed.
// The next request waits: it is reported as the timeout by which such a read ends anyway.
func (r *requestReader) awaitClose() error {
	if len(r.in) == 0 {
		if err := r.fill(); err != nil {
			return err
		}
	}
	return os.ErrDeadlineExceeded
}

// drop ends the use of all that has been read.
func (r *requestReader) drop() {
	for _, s := range append(r.out, r.body...) {
		freeSegment(s)
	}
	*r = requestReader{c: r.c}
}

// fill appends what has arrived to in.
func (r *requestReader) fill() error {
	if len(r.in) == 0 {
		r.in = r.buf[:0]
	}
	if cap(r.in)-len(r.in) < readBytes {
		r.buf = append(make([]byte, 0, 2*len(r.in)+readBytes), r.in...)
		r.in = r.buf
	}
	n, err := r.c.readInner(r.in[len(r.in) : len(r.in)+readBytes])
	r.in = r.in[:len(r.in)+n]
	if n > 0 {
		return nil
	}
	return err
}

// advance takes one step in reading a request.
func (r *requestReader) advance() error {
	switch {
	case r.head == nil:
		return r.readHead()
	case r.chunked:
		return r.readChunks()
	case r.left > 0:
		return r.readBody()
	}
	r.pass()
	return nil
}

// pass passes the request on.
func (r *requestReader) pass() {
	r.out = append([][]byte{r.head}, r.body...)
	r.head, r.body, r.size = nil, nil, 0
	if len(r.in) == 0 {
		r.in, r.buf = nil, nil
	}
}

// headLength returns the length of the head at the start of b, 0 if it is not whole.
func headLength(b []byte) int {
	for at := 0; ; {
		i := bytes.IndexByte(b[at:], '\n')
		if i < 0 {
			return 0
		}
		at += i + 1
		switch rest := b[at:]; {
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return at + 2
		case bytes.HasPrefix(rest, []byte("\n")):
			return at + 1
		}
	}
}

func (r *requestReader) readHead() error {
	n := headLength(r.in)
	if n == 0 && len(r.in) >= maxHeadBytes {
		return r.refuse("431 Request Header Fields Too Large")
	}
	if n == 0 {
		return r.fill()
	}
	head := r.in[:n]
	req, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(head), min(n, 4<<10)))
	switch {
	case err != nil:
		return r.refuse("400 Bad Request")
	case req.ContentLength > r.c.owner.MaxBody:
		return r.refuse("413 Request Entity Too Large")
	}
	r.chunked, r.left, r.chunks = req.ContentLength < 0, max(req.ContentLength, 0), chunkReader{}
	if strings.EqualFold(req.Header.Get("Expect"), "100-continue") && req.ContentLength != 0 {
		if _, err := r.c.Conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return err
		}
	}
	if r.chunked {
		r.head = withoutFraming(head)
	} else {
		r.head = withoutExpect(head)
	}
	r.consume(n)
	return nil
}

// consume removes n bytes of in.
func (r *requestReader) consume(n int) { r.in = r.in[n:] }

// withoutExpect returns a copy of a head without Expect, which has been answered.
func withoutExpect(head []byte) []byte { return without(head, "expect") }

// withoutFraming returns a copy of the head of a chunked request without what says so.
func withoutFraming(head []byte) []byte {
	return without(head, "expect", "transfer-encoding", "content-length", "trailer")
}

func without(head []byte, names ...string) []byte {
	kept := make([]byte, 0, len(head)+32)
	drop := false
	for line := range bytes.Lines(head) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		if line[0] != ' ' && line[0] != '\t' { // Such a line continues the one before.
			drop = false
			for _, n := range names {
				drop = drop || strings.EqualFold(string(bytes.TrimSpace(name)), n)
			}
		}
		if !drop {
			kept = append(kept, line...)
		}
	}
	return kept
}

// readBody reads a part of a body with a length.
func (r *requestReader) readBody() error {
	if len(r.in) > 0 {
		n := int(min(int64(len(r.in)), r.left))
		if err := r.add(r.in[:n], r.left); err != nil {
			return err
		}
		r.consume(n)
		r.left -= int64(n)
		return nil
	}
	n, err := r.read(r.left, r.left)
	r.left -= int64(n)
	return err
}

// read reads at most limit bytes of the body straight into it. Of the body, left bytes are
// still to come, -1 if that is not known.
func (r *requestReader) read(left, limit int64) (n int, err error) {
	free, err := r.grow(left)
	if err != nil {
		return 0, err
	}
	n, err = r.c.readInner(free[:min(int64(len(free)), limit)])
	last := len(r.body) - 1
	r.body[last] = r.body[last][:len(r.body[last])+n]
	r.size += int64(n)
	if n > 0 {
		return n, nil
	}
	return 0, err
}

// readChunks reads a part of a chunked body.
func (r *requestReader) readChunks() error {
	if rest := r.c.owner.MaxBody - r.size; len(r.in) == 0 && min(r.chunks.left, rest) > readBytes {
		n, err := r.read(-1, min(r.chunks.left, rest))
		r.chunks.skip(n)
		return err
	}
	if len(r.in) == 0 {
		return r.fill()
	}
	data, n, err := r.chunks.next(r.in)
	if err != nil {
		return r.refuse("400 Bad Request")
	}
	if r.size+int64(len(data)) > r.c.owner.MaxBody {
		return r.refuse("413 Request Entity Too Large")
	}
	if err := r.add(data, -1); err != nil {
		return err
	}
	r.consume(n)
	if r.chunks.done {
		end := bytes.LastIndexByte(bytes.TrimRight(r.head, "\r\n"), '\n') + 1
		line := bytes.TrimRight(r.head[end:], "\r\n")
		r.head = append(r.head[:end+len(line)], fmt.Sprintf("\r\nContent-Length: %d\r\n\r\n", r.size)...)
		r.chunked, r.left = false, 0
	}
	return nil
}

// add appends data to the body, of which left bytes are still to come, -1 if that is not
// known.
func (r *requestReader) add(data []byte, left int64) error {
	for len(data) > 0 {
		free, err := r.grow(left)
		if err != nil {
			return err
		}
		n, last := copy(free, data), len(r.body)-1
		r.body[last] = r.body[last][:len(r.body[last])+n]
		r.size += int64(n)
		data = data[n:]
		if left > 0 {
			left -= int64(n)
		}
	}
	return nil
}

// grow returns the free part of the last segment of the body, after it has reserved memory
// for a new one if need be.
func (r *requestReader) grow(left int64) (free []byte, err error) {
	last := len(r.body) - 1
	if last < 0 || len(r.body[last]) == cap(r.body[last]) {
		size := min(max(r.size, readBytes), maxSegment)
		if left > 0 {
			size = min(size, left)
		}
		whole := int64(-1)
		if left >= 0 {
			whole = copies * (r.size + left)
		}
		if err := r.c.reserve(copies*(r.size+size), whole); err != nil {
			return nil, err
		}
		r.body, last = append(r.body, newSegment(size)), last+1
	}
	s := r.body[last]
	return s[len(s):cap(s)], nil
}

// refuse answers a request that has not run and will not, and ends the connection.
func (r *requestReader) refuse(status string) error {
	refusals.Add(r.c.owner.Name, 1)
	_, _ = fmt.Fprintf(r.c.Conn, "HTTP/1.1 %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s\n", status, len(status)+1, status)
	if c, ok := r.c.Conn.(interface{ CloseWrite() error }); ok {
		_ = c.CloseWrite()
	}
	return errRefused
}
