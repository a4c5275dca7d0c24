package dragonflyreview_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// model is a model as the config names it.
type model struct {
	size         int
	load, warmup time.Duration
}

// server is one boot of a stand-in for a server of the platform. A server with a domain is
// a model server. Its fields are guarded by the mutex of the system.
type server struct {
	s                          *system
	id, service, address, zone string
	domain                     string
	born                       int64
	listener                   net.Listener
	conns                      map[net.Conn]bool // whether a request is in progress
	state                      string            // of its heartbeats, "" for none
	seq                        uint64
	gone, stopped              bool
	beat                       int // control machine that the next heartbeat goes to
	eventTime                  time.Duration
	events                     int

	// onRequest, if not nil, handles a request and reports whether it has.
	onRequest func(c net.Conn, r *http.Request) bool

	arrivals []arrival
	running  int

	// The fields below belong to model servers.
	staged, lastModel string
	epoch, fence      uint64
	orders            uint64
	group             *group
	ready             map[string]bool // groups in which it has been ready, by key
}

// arrival is a request that has reached a server.
type arrival struct {
	at    time.Time
	id    string
	front string
}

// group is the membership of a model server.
type group struct {
	name, model string
	epoch       uint64
	members     []string
	rank        int
	state       string
}

func (g *group) key() string { return fmt.Sprintf("%s %d %v", g.name, g.epoch, g.members) }

// serve starts a server.
func (s *system) serve(service, class string, n int, domain string) *server {
	ip := s.ip(class, n)
	u := &server{
		s: s, service: service, address: at(ip, s.ports.app), zone: zone(n), domain: domain, born: time.Now().UnixMilli(),
		conns: map[net.Conn]bool{}, state: "ready", ready: map[string]bool{}, eventTime: 80 * time.Millisecond, events: 4,
	}
	u.id = fmt.Sprintf("i-%x-%d", u.born&0xffffff, n)
	l, err := net.Listen("tcp", u.address)
	if err != nil {
		cannot("%v", err)
	}
	u.listener = l
	s.mu.Lock()
	s.servers[u.id] = u
	s.mu.Unlock()
	s.note("server %s (%s, %s) starts at %s", u.id, service, u.zone, u.address)
	go u.accept()
	go u.beats()
	return u
}

func (u *server) accept() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.setBusy(c, false)
		go func() {
			u.answerAll(c)
			_ = c.Close()
			u.s.mu.Lock()
			delete(u.conns, c)
			u.s.mu.Unlock()
		}()
	}
}

// exit ends the server and closes its channels.
func (u *server) exit() {
	_ = u.listener.Close()
	u.s.mu.Lock()
	u.gone, u.state = true, ""
	for c := range u.conns {
		_ = c.Close()
	}
	u.s.mu.Unlock()
}

// say makes the server send a heartbeat, or its DELETE, until a control machine
// acknowledges it, and returns that machine. It asks the one of its latest heartbeat
// first.
func (u *server) say(method string, first int) (by int, ok bool) {
	body := ""
	if method == http.MethodPut {
		body = u.describe(true)
	}
	for i := range 3 {
		n := (first + i) % 3
		req, err := http.NewRequest(method, "http://"+at(u.s.ip("control", n), u.s.ports.control)+"/servers/"+u.id, strings.NewReader(body))
		if err != nil {
			return 0, false
		}
		req.Close = true
		if body != "" {
			req.Header.Set("Content-Type", "application/json")
		}
		resp, err := (&http.Client{Timeout: callTimeout}).Do(req)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return n, true
		}
	}
	return 0, false
}

// beats sends heartbeats while the server has a state.
func (u *server) beats() {
	for {
		u.s.mu.Lock()
		state, beat := u.state, u.beat
		u.s.mu.Unlock()
		if state == "" {
			return
		}
		if n, ok := u.say(http.MethodPut, beat); ok {
			u.s.mu.Lock()
			u.beat = n
			u.s.mu.Unlock()
		}
		time.Sleep(heartbeat)
	}
}

// setState sets the state of the heartbeats and sends one at once.
func (u *server) setState(state string) {
	u.s.mu.Lock()
	u.state = state
	beat := u.beat
	u.s.mu.Unlock()
	if _, ok := u.say(http.MethodPut, beat); !ok {
		cannot("the state %s of %s is not acknowledged", state, u.id)
	}
	u.s.note("server %s: %s is acknowledged", u.id, state)
}

// describe returns the heartbeat of the server, or its report.
func (u *server) describe(isHeartbeat bool) string {
	u.s.mu.Lock()
	defer u.s.mu.Unlock()
	m := map[string]any{"phase": "mixed", "models": []any{}, "seq": u.orders, "born": u.born}
	if isHeartbeat {
		u.seq++
		m["service"], m["address"], m["zone"], m["version"], m["slots"] = u.service, u.address, u.zone, "v1", 48
		m["state"], m["cold_left_ms"], m["seq"] = u.state, 0, u.seq
	} else {
		m["busy"], m["queued"], m["running"], m["kv_used"], m["kv_total"], m["handles"], m["pace"] = false, 0, u.running, 0, 1590000, 0, 1.0
	}
	if u.domain == "" {
		m["slots"] = 6
		delete(m, "phase")
	} else {
		m["domain"], m["staged"] = u.domain, []string{}
		if u.staged != "" {
			m["staged"] = []string{u.staged}
		}
	}
	if g := u.group; g != nil {
		m["models"] = []any{map[string]any{"name": g.model, "version": 1, "adapters": []any{}}}
		m["group"] = map[string]any{"name": g.name, "epoch": g.epoch, "rank": g.rank, "state": g.state}
	}
	raw, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	return string(raw)
}

// answerAll serves the requests of one channel, one after the other.
func (u *server) answerAll(c net.Conn) {
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		u.setBusy(c, true)
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		switch {
		case r.URL.Path == "/report":
			respond(c, 200, u.describe(false), "Content-Type", "application/json")
		case r.URL.Path == "/order":
			respond(c, u.order(body), "")
		case r.URL.Path == "/healthz":
			respond(c, 200, "", "X-Instance-Id", u.id)
		default:
			u.handle(c, r)
		}
		u.setBusy(c, false)
	}
}

// setBusy notes whether a request is in progress on the channel c. A server that has
// stopped listening closes its channels after their requests.
func (u *server) setBusy(c net.Conn, busy bool) {
	u.s.mu.Lock()
	u.conns[c] = busy
	last := u.stopped && !busy
	u.s.mu.Unlock()
	if last {
		_ = c.Close()
	}
}

// stopListening closes the port and the idle channels. Requests in progress go on.
func (u *server) stopListening() {
	_ = u.listener.Close()
	u.s.mu.Lock()
	u.stopped = true
	for c, busy := range u.conns {
		if !busy {
			_ = c.Close()
		}
	}
	u.s.mu.Unlock()
	u.s.note("server %s stops listening", u.id)
}

// respond writes an answer with a length.
func respond(c net.Conn, status int, body string, headers ...string) {
	_, _ = io.WriteString(c, answerText(status, body, headers...))
}

func answerText(status int, body string, headers ...string) string {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	for i := 0; i+1 < len(headers); i += 2 {
		text += headers[i] + ": " + headers[i+1] + "\r\n"
	}
	return text + "\r\n" + body
}

// handle serves one request of a client.
func (u *server) handle(c net.Conn, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	front, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != u.id {
		respond(c, http.StatusMisdirectedRequest, "", "X-Attempt-Id", id, "At-Server", u.id)
		return
	}
	u.s.mu.Lock()
	u.arrivals = append(u.arrivals, arrival{time.Now(), id, front})
	u.s.mu.Unlock()
	if u.onRequest != nil && u.onRequest(c, r) {
		return
	}
	if u.domain != "" {
		u.stream(c, r, id)
		return
	}
	time.Sleep(20 * time.Millisecond)
	respond(c, 200, "answer to "+id, "X-Attempt-Id", id, "X-Server-Seal", u.id+"."+id)
}

// since returns the arrivals after t.
func (u *server) since(t time.Time) (late []arrival) {
	u.s.mu.Lock()
	defer u.s.mu.Unlock()
	for _, a := range u.arrivals {
		if a.at.After(t) {
			late = append(late, a)
		}
	}
	return late
}

type order struct {
	Operation string   `json:"operation"`
	Group     string   `json:"group"`
	Epoch     uint64   `json:"epoch"`
	Model     string   `json:"model"`
	Members   []string `json:"members"`
	Fence     uint64   `json:"fence_token"`
	Expected  *uint64  `json:"expected"`
}

// order carries out an order and returns the status of its answer.
func (u *server) order(body []byte) (status int) {
	var o order
	if json.Unmarshal(body, &o) != nil {
		return http.StatusBadRequest
	}
	u.s.mu.Lock()
	defer func() {
		u.s.mu.Unlock()
		u.s.note("server %s: order %s %s epoch %d model %s members %v: %d", u.id, o.Operation, o.Group, o.Epoch, o.Model, o.Members, status)
	}()
	if o.Fence != 0 && o.Fence < u.fence {
		return http.StatusPreconditionFailed
	}
	u.fence = max(u.fence, o.Fence)
	if o.Expected != nil && *o.Expected != u.orders {
		return http.StatusConflict
	}
	g := u.group
	own := g != nil && g.name == o.Group && g.epoch == o.Epoch
	switch o.Operation {
	case "join":
		return u.join(o, own)
	case "open":
		switch {
		case !own || g.rank != 0:
			return http.StatusConflict
		case g.state == "open":
			return http.StatusOK
		case g.state != "ready":
			return http.StatusConflict
		}
		u.later(formTime, "ready", "open")
	case "close":
		switch {
		case !own || g.state != "open" && g.state != "closing":
			return http.StatusConflict
		case g.state == "closing":
			return http.StatusOK
		}
		g.state = "closing"
		if u.running == 0 {
			g.state = "ready"
		}
	case "leave":
		if !own {
			return http.StatusOK
		}
		u.group = nil
	case "phase":
		m, ok := u.s.models[o.Model]
		switch {
		case !ok:
			return http.StatusConflict
		case u.staged == o.Model:
			return http.StatusOK
		}
		time.AfterFunc(u.loadTime(m), func() {
			u.s.mu.Lock()
			u.staged = o.Model
			u.s.mu.Unlock()
			u.s.note("server %s: %s is staged", u.id, o.Model)
		})
	default:
		return http.StatusBadRequest
	}
	u.orders++
	return http.StatusAccepted
}

// loadTime returns the time of a load, which takes one tenth before the first request.
func (u *server) loadTime(m model) time.Duration {
	if !u.s.loads {
		return m.load / 10
	}
	return m.load
}

// join makes the server a member of another group.
func (u *server) join(o order, own bool) (status int) {
	m, ok := u.s.models[o.Model]
	rank := slices.Index(o.Members, u.id)
	switch {
	case !ok || rank < 0:
		return http.StatusConflict
	case o.Epoch < u.epoch || own && !slices.Equal(u.group.members, o.Members):
		return http.StatusPreconditionFailed
	case own:
		return http.StatusOK
	}
	if g := u.group; g != nil {
		head := u.s.servers[g.members[0]]
		if !head.gone && head.group != nil && head.group.key() == g.key() && (head.group.state == "open" || head.group.state == "closing") {
			u.s.breaks("TWO: %s takes a join of %s while the head %s of its group %s is %s with %d requests at work",
				u.id, o.Group, head.id, g.name, head.group.state, head.running)
		}
	}
	wait := m.load
	switch {
	case u.lastModel == o.Model:
		wait = rejoinTime
	case u.staged == o.Model:
		wait = m.warmup
	default:
		wait = u.loadTime(m)
	}
	u.orders++
	u.epoch = o.Epoch
	u.group = &group{name: o.Group, model: o.Model, epoch: o.Epoch, members: o.Members, rank: rank, state: "joining"}
	u.later(wait, "joining", "ready")
	return http.StatusAccepted
}

// later changes the state of the server's group after d if it is still from.
func (u *server) later(d time.Duration, from, to string) {
	g := u.group
	time.AfterFunc(d, func() {
		u.s.mu.Lock()
		changed := u.group == g && g.state == from && !u.gone
		if changed {
			g.state = to
			if to == "ready" {
				u.staged, u.lastModel, u.ready[g.key()] = g.model, g.model, true
			}
		}
		u.s.mu.Unlock()
		if changed {
			u.s.note("server %s: %s in %s", u.id, to, g.name)
		}
	})
}

// violations are the rules that stand-ins have seen broken.
var violations struct {
	mu    sync.Mutex
	texts []string
}

// breaks records a broken rule. The caller holds the mutex of the system.
func (s *system) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	violations.mu.Lock()
	violations.texts = append(violations.texts, text)
	violations.mu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%9.3f  BROKEN %s\n", time.Since(s.began).Seconds(), text)
}

// broken returns the number of broken rules.
func (s *system) brokenRules() int {
	violations.mu.Lock()
	defer violations.mu.Unlock()
	return len(violations.texts)
}

// intact reports whether all members of g are alive and in it.
func (u *server) intact(g *group) bool {
	if u.group != g {
		return false
	}
	for _, id := range g.members {
		m := u.s.servers[id]
		if m == nil || m.gone || m.group == nil || m.group.key() != g.key() || m.group.state == "joining" {
			return false
		}
	}
	return true
}

// stream runs a request at the head of a group.
func (u *server) stream(c net.Conn, r *http.Request, id string) {
	u.s.mu.Lock()
	g := u.group
	if g == nil || g.rank != 0 {
		u.s.mu.Unlock()
		respond(c, http.StatusMisdirectedRequest, "", "X-Attempt-Id", id, "At-Server", u.id)
		return
	}
	if g.state != "open" {
		u.s.mu.Unlock()
		respond(c, http.StatusServiceUnavailable, "", "X-Attempt-Id", id, "X-Not-Run", "1", "At-Server", u.id)
		return
	}
	u.running++
	u.s.loads = true
	for _, m := range g.members {
		if other := u.s.servers[m]; other == nil || !other.ready[g.key()] {
			u.s.breaks("PARTIAL: request %s begins to run at %s in group %s, of which %s was never ready (state %s)", id, u.id, g.name, m, other.stateIn(g))
		}
	}
	if len(g.members) != u.s.models[g.model].size {
		u.s.breaks("PARTIAL: request %s runs in a group of %d", id, len(g.members))
	}
	u.s.mu.Unlock()
	defer func() {
		u.s.mu.Lock()
		u.running--
		if u.running == 0 && g.state == "closing" {
			g.state = "ready"
		}
		u.s.mu.Unlock()
	}()
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Attempt-Id: %s\r\nX-Server-Seal: %s.%s\r\nX-Weight-Versions: 1\r\n\r\n", id, u.id, id)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	stalled := time.Duration(0)
	for n := last + 1; n <= u.events && err == nil; {
		time.Sleep(u.eventTime)
		u.s.mu.Lock()
		intact, inGroup, gone := u.intact(g), u.group == g, u.gone
		u.s.mu.Unlock()
		if !inGroup || gone {
			_ = c.Close()
			return
		}
		if !intact {
			if stalled += u.eventTime; stalled > stallTime {
				u.s.mu.Lock()
				g.state = "broken"
				u.s.mu.Unlock()
				_ = c.Close()
				return
			}
			continue
		}
		event := fmt.Sprintf("id: %d\ndata: %s.%d\n\n", n, id, n)
		_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
		n++
	}
	if err == nil {
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}
}

// stateIn returns the state of the server in g. The caller holds the mutex.
func (u *server) stateIn(g *group) string {
	switch {
	case u == nil || u.gone:
		return "gone"
	case u.group == nil || u.group.key() != g.key():
		return "not in it"
	}
	return u.group.state
}
