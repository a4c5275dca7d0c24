package dragonflysecond

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Dose of the flood.
const (
	floodClients = 1000
	floodTime    = 40 * time.Second
	floodPause   = 200 * time.Millisecond
	legalBytes   = 4 << 20
)

// flood lets many clients at once send bodies of the largest legal size, stop one byte short
// of the end and stay open. One whose channel the system closes comes again after a pause.
func flood(s *system, trouble bool) int {
	s.startControl()
	s.configure(config(7, 20000))
	for range 3 {
		s.startServer(service, 6)
	}
	entry, front := s.startEntry("front-1")
	s.awaitService(front)
	peak := s.watchMemory(entry)
	var sent, refused atomic.Int64
	var crowd sync.WaitGroup
	until := time.Now().Add(floodTime)
	if trouble {
		s.note("%d clients begin to send bodies of %d bytes", floodClients, legalBytes)
		body := bytes.Repeat([]byte("x"), legalBytes-1)
		for i := range floodClients {
			crowd.Go(func() {
				for n := 0; time.Now().Before(until); n++ {
					if sendShort(front, fmt.Sprintf("c%07x%08x", i, n), body, until) {
						refused.Add(1)
					}
					sent.Add(1)
					time.Sleep(floodPause)
				}
			})
		}
	}
	c, ok, other := newClient(front, 3*time.Second), 0, 0
	for n := 0; time.Now().Before(until) && entry.lives(); n++ {
		a := c.post(fmt.Sprintf("%016x", n+1), keyOfA, `{"bid":1}`, 2500*time.Millisecond)
		if a.status == http.StatusOK {
			ok++
		} else {
			other++
			s.note("ordinary request %d: status %d %.100q", n+1, a.status, a.body)
		}
		time.Sleep(100 * time.Millisecond)
	}
	crowd.Wait()
	highest := peak()
	s.note("ordinary requests: %d served, %d not; bodies begun %d, refused or closed %d", ok, other, sent.Load(), refused.Load())
	s.note("highest memory of the entry: %d MiB, its machine has %d; it lives: %t", highest, frontMB, entry.lives())
	if highest > frontMB || !entry.lives() {
		return broken
	}
	return held
}

// sendShort sends a request whose body lacks the last byte, and waits until the system closes
// the channel or the time is over. It reports whether the channel was closed.
func sendShort(front, attempt string, body []byte, until time.Time) (closed bool) {
	c, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return true
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(until)
	if _, err := fmt.Fprintf(c, "POST %s2f HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nApi-Key: %s\r\nX-Deadline-Ms: 20000\r\nContent-Length: %d\r\n\r\n",
		once, host, attempt, keyOfB, legalBytes); err != nil {
		return true
	}
	if _, err := c.Write(body); err != nil {
		return time.Now().Before(until)
	}
	_, _ = io.Copy(io.Discard, c)
	return time.Now().Before(until)
}
