package dragonflyfloods_test

import (
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	// returningCallers is the size of a crowd whose callers return at once when they are
	// refused, and returns how often each of them does.
	returningCallers = 300
	returns          = 25
)

// gatherReturning is like gather for callers that open a new connection whenever the one
// they have is closed. It returns once each has done so for returns times; those whose last
// connection stays open do not wait.
func gatherReturning(address, requestLine string, c crowd) {
	var running sync.WaitGroup
	for range returningCallers {
		running.Go(func() {
			for range returns {
				conn, err := net.DialTimeout("tcp", address, sendTimeout)
				if err != nil {
					continue // It was refused, which is allowed.
				}
				_ = conn.SetDeadline(time.Now().Add(sendTimeout))
				if _, err = io.WriteString(conn, requestLine); err == nil {
					_ = c.send(conn)
				}
				_ = conn.Close()
			}
		})
	}
	running.Wait()
}

// TestReturningCallers guards against a forwarding entry that ends because it takes the memory
// of callers that are closed for free before these have released it.
func TestReturningCallers(t *testing.T) {
	for _, c := range crowds {
		Convey(c.name, t, func() {
			e := startEntry(t, "done")
			gatherReturning(e.address, fmt.Sprintf(callLine, "x", "crowd"), c)
			e.assertOrdinaryCall()
			e.assertBounded(t, entryMB, maxDescriptors*3/4)
		})
	}
}
