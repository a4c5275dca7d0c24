package dragonflythird_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	scripts["parts-slow"] = partsSlow
	scripts["parts-killed"] = partsKilled
	scripts["requests-slow"] = requestsSlow
}

const (
	mostLate = 3 // requests that may reach servers late, by BUDGET
	// back is the time after which a crashed server is back.
	back = 2 * time.Second
)

// late returns the number of arrivals later than contact_ms after the given crash (1 is the first), and
// after from.
func (s *system) late(crash int, from time.Time) (n int) {
	arrivals, crashes := s.fleet.Deadly()
	for i, at := range arrivals {
		s.log("arrival %d of a deadly request at a server, at %.3f s", i+1, at.Sub(s.began).Seconds())
	}
	for i, at := range crashes {
		s.log("crash %d, at %.3f s", i+1, at.Sub(s.began).Seconds())
	}
	if len(crashes) < crash {
		s.log("%d crashes", len(crashes))
		return 0
	}
	limit := crashes[crash-1].Add(contact)
	if from.After(limit) {
		limit = from
	}
	for _, at := range arrivals {
		if at.After(limit) {
			n++
		}
	}
	s.log("%d arrivals after %.3f s, %d are allowed", n, limit.Sub(s.began).Seconds(), mostLate)
	return n
}

// startParts starts a deployment with engines and waits until their groups are open.
func (s *system) startParts() {
	s.startControl(3)
	s.startEngines(15)
	s.startEntries(2)
	s.putConfig(config(1))
	s.awaitService("stream", "a1:40,c0:60", 25*time.Second)
	s.await("open groups", 20*time.Second, func() bool { return len(s.fleet.Heads()) >= 4 })
}

// sendPart sends request n with the part at an entry. No two requests have the same path, or the same last part.
func (s *system) sendPart(n int) {
	e := s.entries[n%len(s.entries)]
	go s.call(e, http.MethodPost, fmt.Sprintf("/stream/p%d", n), fmt.Sprintf("d%d", n), fmt.Sprintf("a1:40,dead:60,%x:100", 0xd000+n))
}

// partsSlow sends a request with the part every 16 s, without the disruption one with a part that crashes
// nothing. Sound requests, which may not be resumed, go on all the while.
func partsSlow(s *system) bool {
	s.startParts()
	if s.trouble {
		s.crashOn("dead", "", "llm", "domain-0", back)
	}
	end := make(chan struct{})
	var cut, sound atomic.Int64
	var calls sync.WaitGroup
	calls.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-end:
				return
			case <-time.After(40 * time.Millisecond):
				calls.Go(func() {
					a := s.call(s.entries[n%2], http.MethodPost, "/brief/x", fmt.Sprintf("s%d", n), fmt.Sprintf("a1:40,%x:100", n))
					if sound.Add(1); a.status == http.StatusOK && !a.whole || a.status == http.StatusBadGateway {
						cut.Add(1)
					}
				})
			}
		}
	})
	for n := range 6 {
		s.sendPart(n)
		time.Sleep(16 * time.Second)
	}
	close(end)
	calls.Wait()
	s.log("%d of %d sound requests were accepted and cut off", cut.Load(), sound.Load())
	return s.late(5, time.Time{}) > mostLate
}

// partsKilled sends a request with a part that crashes servers every four seconds. Once the
// part is refused, all processes of the deployment are killed and start again.
func partsKilled(s *system) bool {
	s.startParts()
	s.crashOn("dead", "", "llm", "domain-0", back)
	n := 0
	send := func() {
		n++
		s.sendPart(n)
		time.Sleep(4 * time.Second)
	}
	for range 5 {
		send()
	}
	if s.trouble {
		s.log("all processes are killed")
		for _, p := range s.all() {
			p.kill()
		}
		time.Sleep(500 * time.Millisecond)
		for _, p := range s.controls {
			p.args[3] = s.settings("control.json", p.ip, false)
		}
		for _, p := range s.all() {
			s.begin(p)
		}
	}
	// The machines are in touch twice contact_ms after the kill of most of the core.
	time.Sleep(2*contact + 500*time.Millisecond)
	from := time.Now()
	s.awaitService("stream", "a1:40,c1:60", 20*time.Second)
	for range 6 {
		send()
	}
	time.Sleep(2 * time.Second)
	return s.late(5, from) > mostLate
}

// requestsSlow sends the same request, which crashes its server, every 15.5 s.
func requestsSlow(s *system) bool {
	s.startControl(3)
	s.startEntries(2)
	for range 3 {
		s.startServer("app", s.nextIP(), "")
	}
	s.putConfig(config(1))
	s.awaitService("once", "", 20*time.Second)
	if s.trouble {
		s.crashOn("", "/once/deadly", "app", "", back)
	}
	for n := range 7 {
		s.call(s.entries[n%2], http.MethodPost, "/once/deadly", fmt.Sprintf("r%d", n), "")
		time.Sleep(15500 * time.Millisecond)
	}
	return s.late(3, time.Time{}) > mostLate
}
