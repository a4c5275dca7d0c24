// Package dragonflydescriptorlimit reads how many file descriptors the process may have open.
package dragonflydescriptorlimit

import (
	"math"
	"syscall"
)

// unknown stands for a limit that cannot be read. It is that of most systems.
const unknown = 1024

// Get returns the number of file descriptors that the process may have open.
func Get() int {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return unknown
	}
	return int(min(l.Cur, math.MaxInt32))
}
