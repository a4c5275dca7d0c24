package dragonflyupstream

import (
	"crypto/tls"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dragonflyrelay.example/library/common/dragonflyclock"
	"dragonflyrelay.example/library/common/dragonflydialer"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/platform/dragonflycallhttp"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/pkg/errors"
)

// dialer dials the connections of one requestClient and can close the current
// one.
type dialer struct {
	dial  func(address string, timeout dragonflyduration.Duration) (network.Conn, error)
	clock dragonflyclock.Clock

	mu        sync.Mutex
	requestID uint64
	conn      *conn
	aborted   bool
}

// dialTCP dials without TLS, which no request to an upstream uses.
func dialTCP(address string, timeout dragonflyduration.Duration) (c network.Conn, err error) {
	err = dragonflydialer.Split(timeout, func(timeout dragonflyduration.Duration) (err error) {
		c, err = standard.NewDialer().DialConnection("tcp", address, time.Duration(timeout), nil)
		return err
	})
	return c, err
}

// DialConnection implements network.Dialer.
func (d *dialer) DialConnection(_, address string, timeout time.Duration, _ *tls.Config) (network.Conn, error) {
	var c network.Conn
	repeated := dragonflydialer.Dialer{Timeout: dragonflyduration.Duration(timeout), Clock: d.clock}
	err := repeated.Repeat(func(timeout dragonflyduration.Duration) (err error) {
		c, err = d.dial(address, timeout)
		return err
	}, d.isAborted)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.aborted {
		_ = c.Close()
		return nil, errors.New("request was cancelled while connecting")
	}
	d.conn = &conn{Conn: c}
	return d.conn, nil
}

// DialTimeout implements network.Dialer.
func (d *dialer) DialTimeout(n, address string, timeout time.Duration, tlsConfig *tls.Config) (net.Conn, error) {
	return standard.NewDialer().DialTimeout(n, address, timeout, tlsConfig)
}

// AddTLS implements network.Dialer.
func (d *dialer) AddTLS(c network.Conn, tlsConfig *tls.Config) (network.Conn, error) {
	return standard.NewDialer().AddTLS(c, tlsConfig)
}

// reset prepares for the next request and returns the function that closes the
// request's connection, even one that is still being established. Calling this
// function after the next reset has no effect.
func (d *dialer) reset() (abort func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requestID++
	d.conn, d.aborted = nil, false
	requestID := d.requestID
	return func() { d.abort(requestID) }
}

func (d *dialer) abort(requestID uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.requestID != requestID {
		return
	}
	d.aborted = true
	if d.conn != nil {
		_ = d.conn.Close()
	}
}

func (d *dialer) isAborted() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.aborted
}

// headRead lifts the bound of the head. It returns an error if what was read is no head of
// a response.
func (d *dialer) headRead() (err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conn == nil {
		return nil
	}
	d.conn.hasHead = true
	return d.conn.invalid
}

// readFailure returns the failure of a read other than the end of the connection, nil if
// there was none.
func (d *dialer) readFailure() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conn == nil {
		return nil
	}
	return d.conn.failure
}

// mayHaveSent reports whether any byte may have been sent since reset.
func (d *dialer) mayHaveSent() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.conn != nil && d.conn.sent.Load()
}

const (
	// maxHeadBytes bounds the head of a response, with those of interim responses before
	// it. An upstream in trouble may send bytes without end where a head is due, and the
	// parser would keep all of them.
	maxHeadBytes = 64 << 10
	// maxUnreadBytes bounds what the parser keeps at a time after the head. It needs more
	// than the largest body only for trailers without end.
	maxUnreadBytes = 2 * maxBodyBytes
)

// errTooLarge is returned by the read that passes maxHeadBytes or maxUnreadBytes.
var errTooLarge = errors.New("the response is too large")

// conn records whether anything may have been sent. Buffered bytes may be sent by
// any later call, so buffering counts as sending. It bounds what the parser keeps of a
// response, and records the failure of a read, since the parser takes any failure for the
// end of a body without a length.
type conn struct {
	network.Conn
	sent    atomic.Bool
	skipped int  // bytes of the head, and of interim responses, that were read
	hasHead bool // the head has been read
	failure error
	inBody  bool   // what follows belongs to the body
	head    []byte // what has arrived of a head; the parser changes its own bytes
	invalid error  // what was read is no response
}

// Peek implements network.Reader.
func (c *conn) Peek(n int) (b []byte, err error) {
	if c.invalid != nil {
		return nil, c.invalid
	}
	if more := n > c.Len(); more && (!c.hasHead && c.skipped+n > maxHeadBytes || n > maxUnreadBytes) {
		return nil, errTooLarge
	}
	b, err = c.Conn.Peek(n)
	c.record(err)
	c.keepHead()
	return b, err
}

// keepHead keeps a copy of what has arrived of a head. It is called before the parser gets any
// of it.
func (c *conn) keepHead() {
	if c.inBody {
		return
	}
	if arrived, err := c.Conn.Peek(c.Len()); err == nil && len(arrived) > len(c.head) {
		c.head = append(c.head, arrived[len(c.head):]...)
	}
}

// Skip implements network.Reader. The parser skips a head at once after it has read it.
func (c *conn) Skip(n int) error {
	if !c.hasHead {
		c.skipped += n
	}
	if !c.inBody && c.invalid == nil {
		head := c.head[:min(n, len(c.head))]
		c.inBody, c.invalid = dragonflycallhttp.CheckHead(head)
		c.head = c.head[len(head):]
	}
	return c.Conn.Skip(n)
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	c.record(err)
	return n, err
}

func (c *conn) record(err error) {
	if err != nil && !errors.Is(err, io.EOF) && c.failure == nil {
		c.failure = err
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.sent.Store(true)
	return c.Conn.Write(p)
}

// WriteBinary implements network.Writer.
func (c *conn) WriteBinary(p []byte) (int, error) {
	c.sent.Store(true)
	return c.Conn.WriteBinary(p)
}

// Malloc implements network.Writer.
func (c *conn) Malloc(n int) ([]byte, error) {
	c.sent.Store(true)
	return c.Conn.Malloc(n)
}

// Flush implements network.Writer.
func (c *conn) Flush() error {
	c.sent.Store(true)
	return c.Conn.Flush()
}
