package dragonflyintegration_test

import (
	"fmt"
	"net"
	"os/exec"
	"sync"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	// firstPort and lastPort bound the ports of the tests. They are below the ephemeral range,
	// so that no outgoing connection takes a port between its selection and its use.
	firstPort = 12000
	lastPort  = 31999
	// portBlock is the number of ports that a test process reserves at a time. A run of all
	// tests uses about 300.
	portBlock = 500
)

// portReservation hands out the ports of blocks that no other test process uses.
type portReservation struct {
	mu         sync.Mutex
	guards     []net.Listener // on the first port of each block, until the process ends
	next, last int            // ports left in the latest block
}

// ports are those of this test process.
var ports portReservation

// freePort returns a loopback address whose port no one has been given before.
func freePort(t *testing.T) string {
	t.Helper()
	address, err := ports.take()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// take returns an address with the next free port.
func (r *portReservation) take() (address string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for {
		if r.next >= r.last {
			if err := r.reserve(); err != nil {
				return "", err
			}
		}
		address = loopback(r.next)
		r.next++
		if isFree(address) {
			return address, nil
		}
	}
}

// reserve takes the first block whose guard no other process holds.
func (r *portReservation) reserve() error {
	for port := firstPort; port+portBlock-1 <= lastPort; port += portBlock {
		if l, err := net.Listen("tcp", loopback(port)); err == nil {
			r.guards = append(r.guards, l)
			r.next, r.last = port+1, port+portBlock
			return nil
		}
	}
	return fmt.Errorf("no block of ports is free from %d to %d", firstPort, lastPort)
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// isFree reports whether no one listens at address. No process is started meanwhile: between
// fork and exec it would keep the socket open, and the address would be in use.
func isFree(address string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return l.Close() == nil
}

// TestFreePorts guards against a port that is in use when a test listens there: a process that
// is started meanwhile has inherited the socket of the check, or another test process has the
// same port.
func TestFreePorts(t *testing.T) {
	// checks are enough to fail without the lock, and starters is the number of goroutines that
	// start processes meanwhile.
	const checks, starters = 3000, 2
	Convey("Ports can be listened on while processes are started", t, func() {
		stop := make(chan struct{})
		var running sync.WaitGroup
		for range starters {
			running.Go(func() { startUntil(stop) })
		}
		r, failed := &portReservation{}, 0
		for range checks {
			if r.next >= r.last && len(r.guards) > 0 { // One block is enough.
				r.next = r.last - portBlock + 1
			}
			if l, err := net.Listen("tcp", freeAddress(r)); err != nil {
				failed++
			} else {
				_ = l.Close()
			}
		}
		close(stop)
		running.Wait()
		closeAll(r.guards)
		So(failed, ShouldEqual, 0)
	})
	Convey("Two test processes have no port in common", t, func() {
		var a, b portReservation
		taken := map[string]bool{}
		for range 2 * portBlock {
			taken[freeAddress(&a)], taken[freeAddress(&b)] = true, true
		}
		closeAll(append(a.guards, b.guards...))
		So(taken, ShouldHaveLength, 4*portBlock)
	})
}

// startUntil starts processes until stop is closed.
func startUntil(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
			_ = exec.Command("true").Run()
		}
	}
}

func closeAll(guards []net.Listener) {
	for _, l := range guards {
		_ = l.Close()
	}
}

// freeAddress returns the next free address of r, or "".
func freeAddress(r *portReservation) (address string) {
	address, _ = r.take()
	return address
}
