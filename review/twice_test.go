package dragonflyreview_test

import (
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["twice"] = runTwice }

// runTwice has two servers that serve reads for some seconds. Then both are full with the
// work of other callers, and turn one bid away with 503, X-Not-Run and Retry-After. With the
// disruption, one of them sends that answer a second time, at the point where the next
// answer is due on that channel: one of some 50 of its answers.
func runTwice(s *system) bool {
	s.startCore(1, "")
	var mu sync.Mutex
	full := false // both servers are full: the first request for a bid at each is turned away
	runs, turned, answers := map[string][]string{}, map[string]bool{}, map[string]int{}
	due := map[net.Conn]string{} // second copy of an answer
	var faulty *server
	for n := range 2 {
		u, wait := s.serve("app", "plain", n, ""), "0.6"
		if n == 0 {
			faulty, wait = u, "0.3"
		}
		u.onRequest = func(c net.Conn, r *http.Request) bool {
			id := r.Header.Get("X-Attempt-Id")
			mu.Lock()
			answers[u.id]++
			copied := due[c]
			delete(due, c)
			turn := full && !turned[u.id]
			if turn {
				turned[u.id] = true
			} else {
				runs[id] = append(runs[id], u.id)
			}
			mu.Unlock()
			if copied != "" {
				s.note("server %s: the second copy of its 503 goes out", u.id)
				_, _ = c.Write([]byte(copied))
			}
			if turn {
				text := answerText(503, "", "X-Attempt-Id", id, "X-Not-Run", "1", "Retry-After", wait, "At-Server", u.id)
				if s.trouble && u == faulty {
					mu.Lock()
					due[c] = text
					mu.Unlock()
				}
				s.note("server %s: is full and turns %s away with 503, Retry-After %s", u.id, id, wait)
				_, _ = c.Write([]byte(text))
				return true
			}
			if r.Method == http.MethodPost {
				s.note("server %s: runs bid %s", u.id, id)
			}
			time.Sleep(30 * time.Millisecond)
			respond(c, 200, "answer to "+id, "X-Attempt-Id", id, "X-Server-Seal", u.id+"."+id)
			return true
		}
	}
	s.awaitService("read", 1)
	stop := s.load("read", 1, 25*time.Millisecond, 1200*time.Millisecond)
	time.Sleep(2500 * time.Millisecond)
	stop()
	mu.Lock()
	full = true
	mu.Unlock()
	id, got := s.call(0, "once", 2500*time.Millisecond)
	s.note("client: bid %s gets %d %q", id, got.status, got.body)
	time.Sleep(time.Second)
	s.noteAnswers()
	mu.Lock()
	defer mu.Unlock()
	s.note("server %s has answered %d requests", faulty.id, answers[faulty.id])
	isBroken := false
	if n := len(runs[id]); n > 1 {
		s.note("BROKEN TWICE: bid %s, which isn't idempotent, ran %d times, at %v", id, n, runs[id])
		isBroken = true
	}
	if len(runs[id]) > 0 && (got.status == 503 || got.status == 429 || got.status == 408 || got.status == 421) {
		s.note("BROKEN REFUSED: bid %s ran and is answered %d", id, got.status)
		isBroken = true
	}
	return isBroken
}
