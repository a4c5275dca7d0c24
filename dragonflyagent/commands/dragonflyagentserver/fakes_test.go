package dragonflyagentserver_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dragonflyrelay.example/dragonflyagent/commands/dragonflyagentserver"
	"dragonflyrelay.example/dragonflyagent/values/dragonflyagentsettings"
	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflypool"
	"dragonflyrelay.example/library/common/dragonflyrpcclient"
	"dragonflyrelay.example/library/common/dragonflyrpcserver"
	"dragonflyrelay.example/library/common/dragonflyrpcstream"
	"dragonflyrelay.example/library/values/dragonflyconfig"
	"dragonflyrelay.example/library/values/dragonflyframe"
	"dragonflyrelay.example/library/values/dragonflygrouporder"
	"dragonflyrelay.example/library/values/dragonflymember"
	"dragonflyrelay.example/library/values/dragonflyorders"
	"dragonflyrelay.example/library/values/dragonflyreport"
	"dragonflyrelay.example/library/values/dragonflywork"
)

const key = "test-key"

// engine is a minimal upstream: it announces itself, executes orders and produces
// tokens at a fixed rate.
type engine struct {
	// announcing is held from reading the state until the announcement has arrived,
	// so that an older announcement cannot arrive after a newer one.
	announcing sync.Mutex

	mu                sync.Mutex
	kind              string
	state             string
	group             uint64
	fence             uint64
	announcementsLeft int // number still to be sent; negative means no limit
	ignoresFence      bool
	hangsOnOrders     bool // accepts orders and never answers them
	coldLimit         int

	instance      string
	announceURL   string
	server        *http.Server
	address       string
	tokenInterval time.Duration
	running       atomic.Int64
	served        atomic.Int64
	cancelled     atomic.Int64
	orders        []string
	stop          context.CancelFunc
}

func startEngine(t testing.TB, instance, agent string) *engine {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &engine{kind: "engine", state: "ready", instance: instance, announceURL: "http://" + agent + "/announce",
		address: l.Addr().String(), tokenInterval: 5 * time.Millisecond, stop: cancel, announcementsLeft: -1, coldLimit: 4}
	mux := http.NewServeMux()
	mux.HandleFunc("/orders", e.handleOrder)
	mux.HandleFunc("/v1/completions", e.handleCompletion)
	mux.HandleFunc("/", e.handleCall)
	e.server = &http.Server{Handler: mux}
	go func() { _ = e.server.Serve(l) }()
	go e.announceLoop(ctx)
	t.Cleanup(e.kill)
	return e
}

func (e *engine) kill() {
	e.stop()
	_ = e.server.Close()
}

func (e *engine) set(f func(e *engine)) {
	e.mu.Lock()
	f(e)
	e.mu.Unlock()
	e.announceOnce()
}

func (e *engine) announceLoop(ctx context.Context) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		e.announceOnce()
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

func (e *engine) announceOnce() {
	e.announcing.Lock()
	defer e.announcing.Unlock()
	e.mu.Lock()
	raw, _ := json.Marshal(map[string]any{
		"instance": e.instance, "kind": e.kind, "address": e.address, "zone": "zona-a", "region": "centro-mx",
		"model": "m", "service": "floor", "state": e.state, "bearable": e.coldLimit, "group": e.group, "fence": e.fence,
	})
	silent := e.announcementsLeft == 0
	e.mu.Unlock()
	if silent {
		return
	}
	if res, err := http.Post(e.announceURL, "application/json", bytes.NewReader(raw)); err == nil {
		_ = res.Body.Close()
	}
}

func (e *engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Order        string
		Group, Fence uint64
	}
	_ = json.NewDecoder(r.Body).Decode(&o)
	e.mu.Lock()
	e.orders = append(e.orders, fmt.Sprint(o.Order, " ", o.Group))
	hangs := e.hangsOnOrders
	switch {
	case hangs:
	case !e.ignoresFence && o.Fence < e.fence:
		w.WriteHeader(http.StatusConflict)
	case o.Order == "load":
		e.group, e.fence = o.Group, o.Fence
	default:
		e.group = 0
	}
	e.mu.Unlock()
	if hangs {
		<-r.Context().Done()
		return
	}
	go e.announceOnce()
}

func (e *engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var q struct {
		MaxTokens  int      `json:"max-tokens"`
		ResumeFrom []string `json:"resume-from"`
	}
	_ = json.NewDecoder(r.Body).Decode(&q)
	e.running.Add(1)
	defer e.running.Add(-1)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := len(q.ResumeFrom); i < q.MaxTokens; i++ {
		select {
		case <-time.After(e.tokenInterval):
		case <-r.Context().Done():
			e.cancelled.Add(1)
			return
		}
		_, _ = fmt.Fprintf(w, "data: {\"index\":%d,\"text\":\"t%d\"}\n\n", i, i)
		w.(http.Flusher).Flush()
	}
	e.served.Add(1)
	_, _ = fmt.Fprintf(w, "data: {\"done\":true,\"count\":%d}\n\n", q.MaxTokens)
}

// handleCall answers a service call. A call of the path /break is executed, but
// its connection is closed without a response.
func (e *engine) handleCall(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	e.served.Add(1)
	if strings.HasPrefix(r.URL.Path, "/break") {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Request", r.Header.Get("dragonfly-request-id"))
	w.WriteHeader(http.StatusCreated)
	_, _ = w.Write(append([]byte(r.Method+" "+r.URL.String()+" "), body...))
}

// control answers reports with the orders that a test sets.
type control struct {
	mu          sync.Mutex
	config      dragonflyconfig.Config
	orders      map[string]dragonflygrouporder.Order
	reports     map[string]dragonflyreport.Report
	unreachable bool
	address     string
	// orderFor, if not nil, is called with each report and may change the orders.
	orderFor func(r dragonflyreport.Report)
	// delay, if not nil, returns how long a report is held up before control has it.
	delay func(r dragonflyreport.Report) time.Duration
}

func startControl(t testing.TB) *control {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &control{orders: map[string]dragonflygrouporder.Order{}, reports: map[string]dragonflyreport.Report{},
		config: dragonflyconfig.Config{}.WithVersion(1), address: l.Addr().String()}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	srv := &dragonflyrpcserver.Server{
		Pool:  &dragonflypool.Pool{Name: "test-control"},
		Key:   func() string { return key },
		Unary: map[string]func(context.Context, []byte) ([]byte, error){"/dragonfly.control/Report": c.report},
	}
	go func() { _ = srv.Serve(ctx, l) }()
	return c
}

func (c *control) report(_ context.Context, req []byte) ([]byte, error) {
	r, err := dragonflycodec.UnmarshalReport(req)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	delay := c.delay
	c.mu.Unlock()
	if delay != nil {
		time.Sleep(delay(r))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unreachable {
		return nil, io.ErrUnexpectedEOF
	}
	c.reports[r.Announcement.Instance] = r
	if c.orderFor != nil {
		c.orderFor(r)
	}
	return dragonflycodec.MarshalOrders(dragonflyorders.Orders{
		Config: c.config, HasConfig: c.config.Version() > r.ConfigVersion,
		Order: c.orders[r.Announcement.Instance],
	})
}

func (c *control) set(f func(c *control)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c)
}

func (c *control) latest(instance string) dragonflyreport.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reports[instance]
}

// order sets the order that all members receive with their next report.
func (c *control) order(o dragonflygrouporder.Order) {
	c.set(func(c *control) {
		for _, m := range o.Members {
			c.orders[m.Instance] = o
		}
	})
}

// node is one agent with its engine.
type node struct {
	*engine
	bound  dragonflyagentsettings.Settings
	server *dragonflyagentserver.Server
	stop   context.CancelFunc
	ended  chan error
	once   sync.Once
	client *dragonflyrpcclient.Client
}

func startNode(t testing.TB, instance string, control ...string) *node {
	t.Helper()
	n := startAgent(t, dragonflyagentsettings.Settings{
		Instance: instance, Listen: "127.0.0.1:0", UpstreamListen: "127.0.0.1:0", Control: control, Key: key,
		OrderTimeout: 500 * dragonflyduration.Millisecond,
	})
	n.engine = startEngine(t, instance, n.bound.UpstreamListen)
	return n
}

func startAgent(t testing.TB, s dragonflyagentsettings.Settings) *node {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{server: &dragonflyagentserver.Server{Settings: s}, stop: cancel, ended: make(chan error, 1)}
	go func() { n.ended <- n.server.Run(ctx) }()
	wait, done := context.WithTimeout(context.Background(), 5*time.Second)
	defer done()
	b, err := n.server.Bound(wait)
	if err != nil {
		t.Fatal(err)
	}
	n.bound = b
	t.Cleanup(cancel)
	return n
}

func (n *node) member() dragonflymember.Member {
	return dragonflymember.Member{Instance: n.bound.Instance, AgentAddress: n.bound.Listen, EngineAddress: n.address}
}

func formOrder(group, fence uint64, nodes ...*node) dragonflygrouporder.Order {
	o := dragonflygrouporder.Order{Kind: dragonflygrouporder.Form, Group: group, Fence: fence, Model: "m"}
	for _, n := range nodes {
		o.Members = append(o.Members, n.member())
	}
	return o
}

// send opens a stream to n and sends w.
func (n *node) send(ctx context.Context, w dragonflywork.Work) (*dragonflyrpcstream.Stream, error) {
	n.once.Do(func() {
		n.client = &dragonflyrpcclient.Client{Addr: n.bound.Listen, Key: func() string { return key }}
	})
	s, err := n.client.Open(ctx, "/dragonfly.agent/Serve")
	if err != nil {
		return nil, err
	}
	raw, err := dragonflycodec.MarshalWork(w)
	if err != nil {
		return nil, err
	}
	return s, s.Send(raw)
}

// answer returns all frames of the answer to w.
func (n *node) answer(w dragonflywork.Work) (frames []dragonflyframe.Frame, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	s, err := n.send(ctx, w)
	if err != nil {
		return nil, err
	}
	defer func() { _ = s.Close() }()
	return receiveAll(s)
}

func receiveAll(s *dragonflyrpcstream.Stream) (frames []dragonflyframe.Frame, err error) {
	for {
		f, err := receiveFrame(s)
		if err != nil {
			return frames, err
		}
		frames = append(frames, f)
		if isLast(f) {
			return frames, nil
		}
	}
}

func receiveFrame(s *dragonflyrpcstream.Stream) (f dragonflyframe.Frame, err error) {
	raw, err := s.Receive()
	if err != nil {
		return f, err
	}
	return dragonflycodec.UnmarshalFrame(raw)
}

// isLast reports whether f is the last frame of an answer.
func isLast(f dragonflyframe.Frame) bool {
	switch f.Kind {
	case dragonflyframe.Refused, dragonflyframe.Done, dragonflyframe.Failed, dragonflyframe.Response:
		return true
	default:
		return false
	}
}

func completionWork(group, fence uint64, tokens int) dragonflywork.Work {
	return dragonflywork.Work{Request: strings.Repeat("a", 32), Attempt: 1, Group: group, Fence: fence,
		Workspace: "puebla", Class: "fitting", Kind: dragonflywork.Completion, Model: "m", Prompt: "p", MaxTokens: tokens}
}
