package dragonflyagentserver

import (
	"net"
	"time"
)

// writeTimeout bounds how long a peer may accept no data. A frozen or
// unreachable entry would otherwise occupy its share of the concurrency limit
// for as long as TCP retransmits.
const writeTimeout = 5 * time.Second

// listener sets a write timeout on the connections that it accepts.
type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return boundedConn{c}, nil
}

// boundedConn fails a write that takes longer than writeTimeout, which ends the
// streams of the connection.
type boundedConn struct{ net.Conn }

// Write implements net.Conn.
func (c boundedConn) Write(p []byte) (n int, err error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
