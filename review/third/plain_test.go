package dragonflythird_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// beatInterval is the time between two heartbeats of a plain server.
const beatInterval = 1200 * time.Millisecond

// workTime is the time that a plain server takes for a request.
const workTime = 150 * time.Millisecond

// plainServer is a server of the service app. It answers each request after workTime.
type plainServer struct {
	s        *system
	id, addr string
	zone     string
	born     int64
	http     *http.Server

	mu       sync.Mutex
	coldEnd  time.Time   // when it is no longer cold
	cold     []time.Time // arrivals while it was cold
	seq      int
	leaves   bool
	next     int // index of the control address that heartbeats go to
	arrivals []time.Time
	isDown   bool
	isCutOff bool // from control
}

// crashRate is the number of requests in a second at which a cold server crashes, well above what it bears.
const crashRate = 30

func (s *system) startPlain(name string) *plainServer { return s.startPlainIn("palermo", name) }

// startPlainIn starts a plain server in a zone.
func (s *system) startPlainIn(zone, name string) *plainServer {
	p := &plainServer{s: s, zone: zone, id: "i-" + name, addr: fmt.Sprintf("%s:%d", s.nextIP(), appPort), born: time.Now().UnixMilli()}
	p.listen()
	go p.beat()
	s.log("server %s starts at %s", p.id, p.addr)
	return p
}

func (p *plainServer) listen() {
	l, err := net.Listen("tcp", p.addr)
	must(err)
	p.http = &http.Server{Handler: http.HandlerFunc(p.serve)}
	go func(h *http.Server) { _ = h.Serve(l) }(p.http)
}

// setCutOff cuts the server off from control, or ends that.
func (p *plainServer) setCutOff(isCutOff bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCutOff = isCutOff
	p.s.log("%s is cut off from control: %t", p.id, isCutOff)
}

// crash ends the server and its connections.
func (p *plainServer) crash() {
	_ = p.http.Close()
	p.s.log("%s crashes", p.id)
}

// restart starts the server again under its id, cold for d.
func (p *plainServer) restart(d time.Duration) {
	p.mu.Lock()
	p.born, p.seq = time.Now().UnixMilli(), 0
	p.mu.Unlock()
	p.setCold(d)
	p.listen()
	p.s.log("%s starts again", p.id)
	go p.report(http.MethodPut, p.heartbeat())
}

func (p *plainServer) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	if r.Header.Get("X-Expect-Instance") != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	p.mu.Lock()
	now := time.Now()
	if p.arrivals = append(p.arrivals, now); now.Before(p.coldEnd) {
		p.cold = append(p.cold, now)
		if n := len(p.cold); n > crashRate && now.Sub(p.cold[n-1-crashRate]) < time.Second && !p.isDown {
			p.isDown = true
			p.s.log("%s crashes: it is cold and has got %d requests in %.3f s", p.id, crashRate, now.Sub(p.cold[n-1-crashRate]).Seconds())
			go func() { _ = p.http.Close() }()
		}
	}
	p.mu.Unlock()
	time.Sleep(workTime)
	w.Header().Set("X-Server-Seal", "seal-"+p.id)
	_, _ = io.WriteString(w, "answer to "+r.Header.Get("X-Attempt-Id"))
}

// heartbeat returns the body of the next heartbeat.
func (p *plainServer) heartbeat() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seq++
	left := max(time.Until(p.coldEnd), 0).Milliseconds()
	if left > 0 {
		p.s.log("heartbeat %d of %s: cold for %d ms", p.seq, p.id, left)
	}
	return fmt.Sprintf(`{"service":"app","address":%q,"zone":%q,"version":"v1","slots":6,"state":"ready","cold_left_ms":%d,"phase":"","models":[],"seq":%d,"born":%d}`, p.addr, p.zone, left, p.seq, p.born)
}

// tell makes one call to the control address with the index i and reports whether it was acknowledged
// within a second.
func (p *plainServer) tell(i int, method, body string) bool {
	p.mu.Lock()
	isCutOff := p.isCutOff
	p.mu.Unlock()
	if isCutOff {
		time.Sleep(time.Second)
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.s.seeds[i%len(p.s.seeds)]+"/servers/"+p.id, strings.NewReader(body))
	must(err)
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// report makes a call until one control instance acknowledges it.
func (p *plainServer) report(method, body string) {
	for {
		p.mu.Lock()
		i := p.next
		p.mu.Unlock()
		if p.tell(i, method, body) {
			return
		}
		p.mu.Lock()
		p.next++
		p.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
}

func (p *plainServer) beat() {
	for {
		p.mu.Lock()
		ends := p.leaves || p.isDown || p.s.isClosed
		p.mu.Unlock()
		if ends {
			return
		}
		p.report(http.MethodPut, p.heartbeat())
		time.Sleep(beatInterval)
	}
}

// since returns the number of requests that arrived after the given time.
func (p *plainServer) since(t time.Time) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, at := range p.arrivals {
		if at.After(t) {
			n++
			if n <= 5 {
				p.s.log("a request reached %s at %.3f s", p.id, at.Sub(p.s.began).Seconds())
			}
		}
	}
	return n
}

// setCold makes the server cold for d from now on.
func (p *plainServer) setCold(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.coldEnd = time.Now().Add(d)
	p.s.log("%s is cold for %s", p.id, d)
}

// mostInSecond returns the largest number of requests that reached the server in one second while it was cold,
// and when that second began.
func (p *plainServer) mostInSecond() (most int, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, first := range p.cold {
		n := 0
		for _, t := range p.cold[i:] {
			if t.Sub(first) < time.Second {
				n++
			}
		}
		if n > most {
			most, at = n, first
		}
	}
	return most, at
}
