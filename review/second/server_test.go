package dragonflysecond

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is a stand-in for one server of a plain service.
type server struct {
	id      string
	address string
	// answer answers a request that the server has read, and returns whether it keeps the
	// channel. It is called for one request at a time on a channel.
	answer func(c net.Conn, r *http.Request, body []byte, earlier int) (keep bool)

	mu   sync.Mutex
	runs map[string]int // by attempt
}

var (
	lastServer int
	bornLast   int64
)

// startServer starts a server of the service and registers it by heartbeats.
func (s *system) startServer(service string, slots int) *server {
	l, err := net.Listen("tcp", address(s.host(), 0))
	must(err)
	lastServer++
	bornLast = max(bornLast+1, time.Now().UnixMilli())
	v := &server{id: fmt.Sprintf("i-%08x", lastServer), address: l.Addr().String(), runs: map[string]int{}}
	v.answer = v.answerSoundly
	born, ended := bornLast, make(chan struct{})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go v.serve(c)
		}
	}()
	go func() {
		for seq, next := 1, 0; ; seq++ {
			beat := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"zone-1","version":"v1","slots":%d,"state":"ready","cold_left_ms":0,"seq":%d,"born":%d}`,
				service, v.address, slots, seq, born)
			for range s.control {
				if status(http.MethodPut, "http://"+s.control[next%len(s.control)]+"/servers/"+v.id, beat) == http.StatusOK {
					break
				}
				next++
			}
			select {
			case <-ended:
				return
			case <-time.After(heartbeatMS * time.Millisecond):
			}
		}
	}()
	s.stopping = append(s.stopping, func() {
		close(ended)
		_ = l.Close()
	})
	s.note("server %s of %s at %s", v.id, service, v.address)
	return v
}

// serve reads the requests of a channel one after the other.
func (v *server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for earlier := 0; ; earlier++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != v.id {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Not-Run: 1\r\nAt-Server: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Attempt-Id"), v.id)
			continue
		}
		if !v.answer(c, r, body, earlier) {
			return
		}
	}
}

// ran records that the server has run the attempt of r.
func (v *server) ran(r *http.Request) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.runs[r.Header.Get("X-Attempt-Id")]++
}

// count returns how often the server has run the attempt.
func (v *server) count(attempt string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.runs[attempt]
}

// head returns the head of a success with length bytes.
func head(r *http.Request, length int) string {
	return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + r.Header.Get("X-Attempt-Id") + "\r\nX-Server-Seal: 3e1b." + r.Header.Get("X-Attempt-Id") +
		"\r\nContent-Type: application/json\r\nContent-Length: " + strconv.Itoa(length) + "\r\n\r\n"
}

// soundBody returns the whole body of the answer to r.
func soundBody(r *http.Request) string {
	return `{"done":"` + r.Header.Get("X-Attempt-Id") + `"}`
}

// answerSoundly runs a request and answers it.
func (v *server) answerSoundly(c net.Conn, r *http.Request, _ []byte, _ int) bool {
	v.ran(r)
	body := soundBody(r)
	_, err := io.WriteString(c, head(r, len(body))+body)
	return err == nil
}

// slowly answers soundly after the work of the sheet.
func (v *server) slowly(c net.Conn, r *http.Request, body []byte, earlier int) bool {
	v.ran(r)
	time.Sleep(60 * time.Millisecond)
	text := soundBody(r)
	_, err := io.WriteString(c, head(r, len(text))+text)
	return err == nil
}
