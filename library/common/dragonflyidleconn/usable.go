// Package dragonflyidleconn checks connections that are kept between requests.
package dragonflyidleconn

import (
	"net"
	"syscall"
)

// IsUsable reports whether an idle connection is open and has nothing to read. Bytes or an
// end of file there mean that the upstream has closed it, or has sent something that
// belongs to no request.
func IsUsable(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = err == syscall.EAGAIN
		return true
	})
	return err == nil && empty
}
