package dragonflyagentserver

import (
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
)

const (
	// writeTimeout bounds how long a peer may accept no data. A frozen or
	// unreachable entry would otherwise occupy its share of the concurrency limit
	// for as long as TCP retransmits.
	writeTimeout = 5 * time.Second
	// resumeTimeout bounds the second attempt of a write that has timed out. The
	// peer accepts data at once if it was this process that was paused.
	resumeTimeout = 100 * time.Millisecond
	// writeBufferBytes bounds the data that waits for a peer which does not read: the
	// write timeout starts only when the buffer is full, which takes the longer the
	// slower the tokens come. The system's default grows to several megabytes.
	// 256 KiB carry 3 MB/s over a round trip of 70 ms between two regions.
	writeBufferBytes = 256 << 10
)

// listener bounds the write buffer and the time of a write of the connections that it
// accepts.
type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(writeBufferBytes) // Without it, a frozen peer is detected later.
	}
	return boundedConn{c, time.Now}, nil
}

// boundedConn fails a write that takes longer than writeTimeout, which ends the
// streams of the connection.
type boundedConn struct {
	net.Conn
	now func() time.Time
}

// Write implements net.Conn. A process that was paused during a write finds its
// deadline passed although the peer reads, so a write that has timed out is continued
// once.
func (c boundedConn) Write(p []byte) (n int, err error) {
	n, err = c.writeWithin(writeTimeout, p)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	rest, err := c.writeWithin(resumeTimeout, p[n:])
	return n + rest, err
}

func (c boundedConn) writeWithin(timeout time.Duration, p []byte) (n int, err error) {
	if err := c.SetWriteDeadline(c.now().Add(timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
