package dragonflysecond

import (
	"net"
	"sync"
)

// lastBodies holds the body of the latest answer on each channel of a server.
var lastBodies sync.Map

func lastOf(c net.Conn) (body string, ok bool) {
	v, ok := lastBodies.Load(c)
	if !ok {
		return "", false
	}
	return v.(string), true
}

func setLast(c net.Conn, body string) { lastBodies.Store(c, body) }
