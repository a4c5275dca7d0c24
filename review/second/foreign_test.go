package dragonflysecond

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Numbers of requests in all, and at once.
const (
	requests = 800
	atOnce   = 4
)

// foreignBytes lets one of three servers send additional bytes late: after a complete answer,
// at the point where the next answer on the channel is due. The bytes are the body of the
// earlier answer once more. They belong to no request, and no client may get them.
func foreignBytes(s *system, trouble bool) int {
	s.startControl()
	s.configure(config(7, 2500))
	var servers []*server
	for range 3 {
		servers = append(servers, s.startServer(service, 6))
	}
	_, front := s.startEntry("front-1")
	s.awaitService(front)
	const secret = `{"account":"%s","tenant":"%s","balance":1250}`
	for i, v := range servers {
		v.answer = func(c net.Conn, r *http.Request, _ []byte, earlier int) bool {
			v.ran(r)
			body := fmt.Sprintf(secret, r.Header.Get("X-Attempt-Id"), r.Header.Get("X-Tenant"))
			before := ""
			if last, ok := lastOf(c); ok && trouble && i == 0 && earlier > 0 {
				before = last + "\n"
				s.note("server %s sends %d additional bytes of an earlier answer before that to %s", v.id, len(before), r.Header.Get("X-Attempt-Id"))
			}
			setLast(c, body)
			_, err := io.WriteString(c, before+head(r, len(body))+body)
			return err == nil
		}
	}
	c := newClient(front, 3*time.Second)
	var foreign, own atomic.Int64
	for n := range requests / atOnce {
		var pending sync.WaitGroup
		for i := range atOnce {
			pending.Go(func() {
				key, tenant := keyOfA, "tenant-a"
				if (n+i)%3 > 0 {
					key, tenant = keyOfB, "tenant-b"
				}
				attempt := fmt.Sprintf("%016x", n*atOnce+i+1)
				a := c.post(attempt, key, `{"bid":1}`, 2500*time.Millisecond)
				got := "nothing foreign"
				plain := strings.ReplaceAll(a.body, `\`, "")
				switch {
				case !strings.Contains(plain, `"account"`) || strings.Contains(plain, fmt.Sprintf(secret, attempt, tenant)):
				case !strings.Contains(plain, `"tenant":"`+tenant):
					got = "BYTES OF AN ANSWER TO THE OTHER TENANT"
					foreign.Add(1)
				default:
					got = "bytes of an answer to another request of the tenant"
					own.Add(1)
				}
				s.note("%s of %s, runs at the three servers %d %d %d: status %d, %s: %.200q", attempt, tenant,
					servers[0].count(attempt), servers[1].count(attempt), servers[2].count(attempt), a.status, got, a.body)
			})
		}
		pending.Wait()
		time.Sleep(100 * time.Millisecond)
	}
	s.note("answers with bytes of an answer to the other tenant: %d; with those of another request of the same tenant: %d", foreign.Load(), own.Load())
	if foreign.Load()+own.Load() > 0 {
		return broken
	}
	return held
}
