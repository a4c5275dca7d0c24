package dragonflyreview_test

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["two"] = runTwo }

// runTwo has a head of a group that drains with streams in progress. With the disruption,
// one of four fronts is frozen meanwhile.
func runTwo(s *system) bool {
	const fronts = 4
	s.startCore(fronts, oneModel)
	all := s.startEngines(4)
	s.awaitService("stream", fronts)
	s.await(40*time.Second, "a warm spare", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, u := range all {
			if u.lastModel == "" {
				return false
			}
		}
		return true
	})
	time.Sleep(contact)
	h := s.head()
	if h == nil {
		cannot("no group is open")
	}
	h.events = 60 // of 80 ms: 4.8 s
	var streams sync.WaitGroup
	for n := range fronts {
		streams.Add(1)
		go func() {
			defer streams.Done()
			id, got := s.call(n, "stream", 8*time.Second)
			s.note("client: stream %s at front-%d gets %d, complete: %t", id, n, got.status, got.complete)
		}()
	}
	time.Sleep(300 * time.Millisecond)
	h.setState("draining")
	acked := time.Now()
	time.Sleep(700 * time.Millisecond)
	if s.trouble {
		s.signal("front-0", syscall.SIGSTOP)
	}
	frozen := time.Now()
	time.Sleep(time.Until(acked.Add(drainBound + 200*time.Millisecond)))
	h.stopListening()
	time.Sleep(time.Until(frozen.Add(4 * time.Second)))
	if s.trouble {
		s.signal("front-0", syscall.SIGCONT)
	}
	streams.Wait()
	_, _ = h.say(http.MethodDelete, 0)
	h.exit()
	s.note("server %s has left", h.id)
	time.Sleep(2 * time.Second)
	s.noteAnswers()
	return s.brokenRules() > 0
}
