package dragonflysecond

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of an engine. The first join takes a load at the pace of the time before traffic, and
// later ones of the same model are quick.
const (
	model         = "daka510000"
	groupSize     = 3
	loadTime      = 1200 * time.Millisecond
	rejoinTime    = 200 * time.Millisecond
	openTime      = 300 * time.Millisecond
	eventTime     = 10 * time.Millisecond
	streamEvents  = 10
	sideMB        = 152
	engineService = "huvo11a"
)

// membership is what an engine says of its group.
type membership struct {
	Name  string `json:"name"`
	Epoch uint64 `json:"epoch"`
	Rank  int    `json:"rank"`
	State string `json:"state"`
}

// engine is a stand-in for one model server. Its groups have no members that fail but heads,
// so that a head need not watch the others.
type engine struct {
	*system
	id, address string
	born        int64

	mu       sync.Mutex
	group    *membership
	highest  uint64 // epoch
	orders   uint64
	beats    uint64
	staged   []string
	listener net.Listener
	crashed  chan struct{}
	agent    *process
	stopWeb  func()
	once     sync.Once
}

// startEngine starts an engine and the agent on its machine.
func (s *system) startEngine(number int) *engine {
	h := s.host()
	l, err := net.Listen("tcp", address(h, 0))
	must(err)
	bornLast = max(bornLast+1, time.Now().UnixMilli())
	e := &engine{system: s, id: fmt.Sprintf("i-e%07x", number), address: l.Addr().String(), born: bornLast, listener: l, crashed: make(chan struct{})}
	web := &http.Server{Handler: http.HandlerFunc(e.serve)}
	go func() { _ = web.Serve(l) }()
	go e.beat()
	settings := s.settings("deploy/agent.json", fmt.Sprintf("side-%d", number), h, "", e.address, true)
	e.agent = s.start(fmt.Sprintf("side-%d", number), 0, false, "target/dragonflyagent", "tend", "--settings", settings)
	s.stopping = append(s.stopping, func() { e.crash(web) })
	e.stopWeb = func() { e.crash(web) }
	return e
}

// crash ends the engine: it sends nothing more, and its port refuses connections.
func (e *engine) crash(web *http.Server) {
	e.once.Do(func() {
		close(e.crashed)
		_ = web.Close()
	})
}

// beat sends heartbeats until the engine crashes.
func (e *engine) beat() {
	for next := 0; ; {
		for range e.control {
			if status(http.MethodPut, "http://"+e.control[next%len(e.control)]+"/servers/"+e.id, e.describe(true)) == http.StatusOK {
				break
			}
			next++
		}
		select {
		case <-e.crashed:
			return
		case <-time.After(heartbeatMS * time.Millisecond):
		}
	}
}

// describe returns a heartbeat or a report.
func (e *engine) describe(heartbeat bool) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := map[string]any{"born": e.born, "phase": "mixed", "models": []any{}, "staged": e.staged, "domain": "d-1"}
	if e.group != nil {
		m["group"], m["models"] = *e.group, []any{map[string]any{"name": model, "version": 1, "adapters": []any{}}}
	}
	if heartbeat {
		e.beats++
		m["seq"], m["service"], m["address"], m["zone"], m["state"], m["slots"] = e.beats, engineService, e.address, "zone-1", "ready", 48
		m["version"], m["cold_left_ms"] = "v1", 0
	} else {
		m["seq"], m["busy"], m["queued"], m["running"], m["pace"] = e.orders, false, 0, 0, 1.0
		m["kv_used"], m["kv_total"], m["handles"] = 0, 1590000, 0
	}
	raw, err := json.Marshal(m)
	must(err)
	return string(raw)
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/report":
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, e.describe(false))
	case "/order":
		w.WriteHeader(e.order(r))
	default:
		e.stream(w, r)
	}
}

// order carries out an order by the rules of the page and returns the status of the answer.
func (e *engine) order(r *http.Request) int {
	var o struct {
		Operation, Group, Model string
		Epoch                   uint64
		Members                 []string
		Expected                *uint64
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		return http.StatusBadRequest
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Expected != nil && *o.Expected != e.orders {
		return http.StatusConflict
	}
	own := e.group != nil && e.group.Name == o.Group && e.group.Epoch == o.Epoch
	switch o.Operation {
	case "join":
		if own {
			return http.StatusOK
		}
		if o.Epoch < e.highest {
			e.note("engine %s refuses to join %s of epoch %d, it has seen %d", e.id, o.Group, o.Epoch, e.highest)
			return http.StatusPreconditionFailed
		}
		rank := 0
		for i, id := range o.Members {
			if id == e.id {
				rank = i
			}
		}
		takes := rejoinTime
		if len(e.staged) == 0 {
			takes = loadTime
		}
		e.note("engine %s joins %s of epoch %d as %d of %d", e.id, o.Group, o.Epoch, rank, len(o.Members))
		e.group, e.highest, e.staged = &membership{Name: o.Group, Epoch: o.Epoch, Rank: rank, State: "joining"}, o.Epoch, []string{o.Model}
		e.later(takes, "joining", "ready")
	case "open":
		if !own || e.group.State != "ready" {
			return http.StatusConflict
		}
		e.note("engine %s opens %s", e.id, o.Group)
		e.later(openTime, "ready", "open")
	case "close":
		if own {
			e.group.State = "ready"
		}
	case "leave":
		if own {
			e.note("engine %s leaves %s", e.id, o.Group)
			e.group = nil
		}
	case "phase":
		e.staged = []string{o.Model}
	default:
		return http.StatusBadRequest
	}
	e.orders++
	return http.StatusAccepted
}

// later changes the state of the present group after a time, if it is from then. The caller
// holds the mutex.
func (e *engine) later(after time.Duration, from, to string) {
	g := e.group
	time.AfterFunc(after, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.group == g && g.State == from {
			g.State = to
		}
	})
}

// isOpenHead reports whether the engine is the open head of a group.
func (e *engine) isOpenHead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.group != nil && e.group.Rank == 0 && e.group.State == "open"
}

// stream answers a request with a stream of events.
func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	attempt := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	switch {
	case r.Header.Get("X-Expect-Instance") != e.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case !e.isOpenHead():
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("X-Server-Seal", "3e1b."+attempt)
	w.Header().Set("X-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= streamEvents; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, attempt, n); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(eventTime)
	}
}

// engineConfig returns a config with a route for streams of engines beside the one of config.
func engineConfig(version int) string {
	c := config(version, 2500)
	c = strings.Replace(c, `"routes":[`, fmt.Sprintf(`"routes":[{"name":"r-stream","host":%q,"path_prefix":"/lohu930/","kind":"streaming","timeout_ms":5000,
"goal_ms":200,"priority":1,"service":%q,"max_attempts":2,"public":false,"sticky":true,"can_resume":true,"gap_target_ms":200},`, host, engineService), 1)
	return strings.Replace(c, `"services":[`, fmt.Sprintf(`"services":[{"name":%q,"health_path":"/healthz","max_conns":422,"protocol":"h1","tls":false,
"cold_start_s":0.0,"cold_per_s":0.0,"engine":{"slots":48,"kv_capacity":1590000,"kv_token_bytes":327680,"link_mbps":400000.0,"stride":6,
"models":[{"name":%q,"size":%d,"share":1.0,"pace":1.0,"load_s":12.0,"warmup_s":1.1}],"step_ms":5.95,"per_seq_ms":0.0445,"context_per_k":0.00813,
"read_per_s":50700.0,"pairs_per_m":0.368,"chunk":2048,"report_lag_ms":200.0,"loads_per_s":3.0,"loads_at_once":6,"delays":[],
"usual":{"prompt":1038,"answer":167},"keeps":1,"far_x":4.0,"form_ms":300.0}},`, engineService, model, groupSize), 1)
}
