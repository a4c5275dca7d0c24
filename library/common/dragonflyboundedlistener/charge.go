package dragonflyboundedlistener

import (
	"cmp"
	"os"
	"time"

	"github.com/pkg/errors"
)

const (
	// freeBytes is what a connection may hold without a reservation, which is a request of
	// 8 KiB. Ordinary ones have a few KiB, and the number of connections bounds the sum.
	freeBytes = 16 << 10
	// chargeStep is the unit of reservations, so that few reads have to reserve.
	chargeStep = 64 << 10
	// maxStepped is the reservation up to which a request of unknown length grows in steps.
	// For more it reserves all that it may ever take: large requests that wait for each
	// other, each with a part of the memory, would all stand still.
	maxStepped = 1 << 20
	// copies is how much memory a body takes for each of its bytes: the server copies it.
	copies = 2
	// defaultMaxWait is how long a request waits for memory before its connection is closed.
	defaultMaxWait = 10 * time.Second
)

// errNoMemory ends a connection whose request finds no room.
var errNoMemory = errors.New("there is no memory for the request")

// Read implements net.Conn. It closes a connection whose request finds no room.
func (c *conn) Read(p []byte) (n int, err error) {
	switch {
	case c.owner.MaxBody > 0:
		n, err = c.requests.Read(p)
	case c.owner.Memory != nil:
		n, err = c.readCharged(p)
	default:
		return c.readInner(p)
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.requests.drop() // Its server may keep the connection for some time.
	}
	if errors.Is(err, errNoMemory) {
		_ = c.Close()
	}
	return n, err
}

func (c *conn) readInner(p []byte) (n int, err error) {
	if n, err = c.Conn.Read(p); n > 0 {
		c.touch()
	}
	return n, err
}

// readCharged reads after it has reserved what the connection takes, and a large buffer that
// the server has offered.
func (c *conn) readCharged(p []byte) (n int, err error) {
	need, whole := c.pending, int64(-1)
	switch {
	case !c.growing:
		// The buffer is kept from an earlier message, and no larger one may ever arrive.
		if len(p) >= chargeStep {
			need = max(need, int64(len(p)))
		}
		whole = need
	case len(p) >= chargeStep:
		need = max(need, c.pending+int64(len(p)))
	}
	if err := c.reserve(need, whole); err != nil {
		return 0, err
	}
	n, err = c.readInner(p)
	if c.charge == nil {
		c.charge = c.owner.NewCharge()
	}
	if before := c.pending; n > 0 {
		c.pending = c.charge(p[:n])
		if c.growing = c.pending > before; c.pending < before {
			c.shrink(c.pending)
		}
	}
	return n, err
}

// Write implements net.Conn. An answer ends the request as far as its memory is concerned.
func (c *conn) Write(p []byte) (n int, err error) {
	if c.owner.MaxBody > 0 {
		c.answered.Store(true)
		c.release()
	}
	if n, err = c.Conn.Write(p); n > 0 {
		c.touch()
	}
	return n, err
}

// reserve reserves bytes in all for the connection, or the whole of a request if that is
// known, and otherwise -1. The lock is not held meanwhile, so that the connection can be
// closed.
func (c *conn) reserve(bytes, whole int64) error {
	if c.owner.Memory == nil {
		return nil
	}
	id, need := c.need(bytes, whole)
	if need == 0 {
		return nil
	}
	ok := c.owner.Memory.Await(id, need, cmp.Or(c.owner.MaxWait, defaultMaxWait))
	c.mu.Lock()
	defer c.mu.Unlock()
	if !ok {
		return errNoMemory
	}
	if c.holder == id {
		c.charged = need
	}
	return nil
}

// need returns what has to be reserved, 0 for nothing, and for which holder.
func (c *conn) need(bytes, whole int64) (holder uint64, need int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if bytes <= max(freeBytes, c.charged) {
		return 0, 0
	}
	if c.holder == 0 {
		inner := c.Conn
		c.holder = c.owner.Memory.Open(func() { _ = inner.Close() })
	}
	switch {
	case whole >= 0:
		need = max(bytes, whole)
	case bytes > maxStepped:
		need = max(bytes, c.owner.MaxCharge)
	default:
		need = bytes
	}
	return c.holder, (need + chargeStep - 1) / chargeStep * chargeStep
}

// shrink reduces the reservation after a message has ended.
func (c *conn) shrink(bytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if need := (bytes + chargeStep - 1) / chargeStep * chargeStep; c.holder != 0 && need < c.charged && c.owner.Memory.Reserve(c.holder, need, 0) {
		c.charged = need
		c.owner.Memory.SetRunning(c.holder, false)
	}
}

// setRunning records that the process works on the request, or waits for its caller again.
func (c *conn) setRunning(runs bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holder != 0 {
		c.owner.Memory.SetRunning(c.holder, runs)
	}
}

// release ends the reservation.
func (c *conn) release() {
	if c.owner.Memory == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holder != 0 {
		c.owner.Memory.Release(c.holder)
	}
	c.holder, c.charged = 0, 0
}
