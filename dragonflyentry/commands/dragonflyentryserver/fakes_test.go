package dragonflyentryserver_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dragonflyrelay.example/dragonflyentry/commands/dragonflyentryserver"
	"dragonflyrelay.example/dragonflyentry/queries/dragonflyentrysettings"
	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/common/dragonflypool"
	"dragonflyrelay.example/library/common/dragonflyrpcserver"
	"dragonflyrelay.example/library/common/dragonflyrpcstream"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyclass"
	"dragonflyrelay.example/library/values/dragonflyconfig"
	"dragonflyrelay.example/library/values/dragonflyframe"
	"dragonflyrelay.example/library/values/dragonflyresult"
	"dragonflyrelay.example/library/values/dragonflyroute"
	"dragonflyrelay.example/library/values/dragonflyservice"
	"dragonflyrelay.example/library/values/dragonflytable"
	"dragonflyrelay.example/library/values/dragonflywork"
	"dragonflyrelay.example/library/values/dragonflyworkspace"
)

const (
	internalKey = "internal"
	bearer      = "clave-puebla"
)

// startRPCServer runs srv until stop is called or the test ends.
func startRPCServer(t testing.TB, srv *dragonflyrpcserver.Server) (addr string, stop func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	srv.Key = func() string { return internalKey }
	srv.Pool = &dragonflypool.Pool{Name: "fake"}
	go func() { _ = srv.Serve(ctx, l) }()
	return l.Addr().String(), cancel
}

// fakeAgent handles requests with its serve function and counts their runs.
type fakeAgent struct {
	addr string
	stop func()
	// serve handles one request; newAgent replaces nil by answer.
	serve func(ctx context.Context, a *fakeAgent, w dragonflywork.Work, send func(dragonflyframe.Frame) error)

	received, cancelled atomic.Int64
	mu                  sync.Mutex
	runs                map[string]int // by the header "call", or by the request id without it
}

func newAgent(t testing.TB, serveWork func(ctx context.Context, a *fakeAgent, w dragonflywork.Work, send func(dragonflyframe.Frame) error)) *fakeAgent {
	a := &fakeAgent{serve: serveWork, runs: map[string]int{}}
	if a.serve == nil {
		a.serve = answer
	}
	a.addr, a.stop = startRPCServer(t, &dragonflyrpcserver.Server{Streams: map[string]func(*dragonflyrpcstream.Stream) error{
		"/dragonfly.agent/Serve": a.handle,
	}})
	return a
}

func (a *fakeAgent) handle(s *dragonflyrpcstream.Stream) error {
	raw, err := s.Receive()
	if err != nil {
		return err
	}
	w, err := dragonflycodec.UnmarshalWork(raw)
	if err != nil {
		return err
	}
	a.received.Add(1)
	a.serve(s.Context(), a, w, func(f dragonflyframe.Frame) error {
		if f.Attempt == 0 {
			f.Attempt = w.Attempt
		}
		raw, err := dragonflycodec.MarshalFrame(f)
		if err != nil {
			return err
		}
		return s.Send(raw)
	})
	return nil
}

// countRun counts a run of w under its header "call", or under its request id if it
// has none.
func (a *fakeAgent) countRun(w dragonflywork.Work) {
	id := w.Request
	for _, h := range w.Headers {
		if strings.EqualFold(h[0], "call") {
			id = h[1]
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runs[id]++
}

func (a *fakeAgent) runsOf(id string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.runs[id]
}

// tokenAt returns the token at index i of the fake model's answer to prompt. Tokens
// depend on both, so that a test detects answers that are mixed up.
func tokenAt(prompt string, i int) string {
	sum := sha256.Sum256([]byte(prompt))
	return fmt.Sprintf("%s-%d ", hex.EncodeToString(sum[:4]), i)
}

func completeText(prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(tokenAt(prompt, i))
	}
	return b.String()
}

// answer runs w and sends its complete answer, without the tokens that were already
// delivered.
func answer(_ context.Context, a *fakeAgent, w dragonflywork.Work, send func(dragonflyframe.Frame) error) {
	a.countRun(w)
	_ = send(dragonflyframe.Frame{Kind: dragonflyframe.Started})
	if w.Kind == dragonflywork.Call {
		_ = send(dragonflyframe.Frame{Kind: dragonflyframe.Response, Status: 201, Headers: [][2]string{{"Content-Type", "text/plain"}}, Body: []byte("done " + string(w.Body))})
		return
	}
	for i := len(w.Delivered); i < w.MaxTokens; i++ {
		if send(dragonflyframe.Frame{Kind: dragonflyframe.Token, Index: i, Text: tokenAt(w.Prompt, i)}) != nil {
			return
		}
	}
	_ = send(dragonflyframe.Frame{Kind: dragonflyframe.Done, Index: w.MaxTokens})
}

func refuseWork(reason string) func(context.Context, *fakeAgent, dragonflywork.Work, func(dragonflyframe.Frame) error) {
	return func(_ context.Context, _ *fakeAgent, _ dragonflywork.Work, send func(dragonflyframe.Frame) error) {
		_ = send(dragonflyframe.Frame{Kind: dragonflyframe.Refused, Reason: reason})
	}
}

// answerSlowly sends the same frames as answer, with a pause before each.
func answerSlowly(pause time.Duration) func(context.Context, *fakeAgent, dragonflywork.Work, func(dragonflyframe.Frame) error) {
	return func(ctx context.Context, a *fakeAgent, w dragonflywork.Work, send func(dragonflyframe.Frame) error) {
		answer(ctx, a, w, func(f dragonflyframe.Frame) error {
			select {
			case <-time.After(pause):
			case <-ctx.Done():
				return ctx.Err()
			}
			return send(f)
		})
	}
}

// stallUntilCancelled starts w and sends no further frame until it is cancelled.
func stallUntilCancelled(ctx context.Context, a *fakeAgent, w dragonflywork.Work, send func(dragonflyframe.Frame) error) {
	a.countRun(w)
	_ = send(dragonflyframe.Frame{Kind: dragonflyframe.Started})
	<-ctx.Done()
	a.cancelled.Add(1)
}

// fakeControl answers polls with its table and keeps claims in memory.
type fakeControl struct {
	addr    string
	stop    func()
	watches atomic.Int64 // polls received

	mu       sync.Mutex
	table    dragonflytable.Table
	claims   map[string]dragonflychange.Change
	proposed []dragonflychange.Change
	// fail, if set, replaces the result when it returns an outcome other than 0.
	fail func(dragonflychange.Change) dragonflyresult.Result
}

func newControl(t testing.TB, routes ...dragonflyroute.Route) *fakeControl {
	c := &fakeControl{claims: map[string]dragonflychange.Change{}}
	sum := sha256.Sum256([]byte(bearer))
	c.table = dragonflytable.Table{
		HasConfig: true, Complete: true, Term: 1, Revision: 1, Routes: routes,
		Config: dragonflyconfig.Config{}.WithVersion(1).
			WithClass(dragonflyclass.Class{}.WithName("fitting")).
			WithClass(dragonflyclass.Class{}.WithName("brief").WithDeadline(200e6)).
			WithService(dragonflyservice.Service{}.WithName("orders").WithIdempotentMethods([]string{"GET"})).
			WithWorkspace(dragonflyworkspace.Workspace{}.WithName("puebla").WithClass("fitting").WithKeyHash(hex.EncodeToString(sum[:]))),
	}
	c.addr, c.stop = startRPCServer(t, &dragonflyrpcserver.Server{Unary: map[string]func(context.Context, []byte) ([]byte, error){
		"/dragonfly.control/Watch":   c.watch,
		"/dragonfly.control/Propose": c.propose,
	}})
	return c
}

func (c *fakeControl) watch(context.Context, []byte) ([]byte, error) {
	c.watches.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	return dragonflycodec.MarshalTable(c.table)
}

func (c *fakeControl) changeTable(f func(dragonflytable.Table) dragonflytable.Table) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table = f(c.table)
	c.table.Revision++
}

func (c *fakeControl) setFail(f func(dragonflychange.Change) dragonflyresult.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fail = f
}

func (c *fakeControl) propose(_ context.Context, raw []byte) ([]byte, error) {
	ch, err := dragonflycodec.UnmarshalChange(raw)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.proposed = append(c.proposed, ch)
	if c.fail != nil {
		if r := c.fail(ch); r.Outcome != 0 {
			return dragonflycodec.MarshalResult(r)
		}
	}
	return dragonflycodec.MarshalResult(c.apply(ch))
}

func (c *fakeControl) apply(ch dragonflychange.Change) (r dragonflyresult.Result) {
	held, ok := c.claims[ch.ClaimKey]
	r.Outcome = dragonflyresult.Accepted
	switch ch.Kind {
	case dragonflychange.Release:
		delete(c.claims, ch.ClaimKey)
	case dragonflychange.Complete:
		c.claims[ch.ClaimKey] = ch
	case dragonflychange.Claim:
		switch {
		case !ok:
			c.claims[ch.ClaimKey] = ch
			r.Outcome = dragonflyresult.ClaimGranted
		case held.Fingerprint != ch.Fingerprint:
			r.Outcome = dragonflyresult.ClaimMismatch
		case held.Owner == ch.Owner:
			r.Outcome = dragonflyresult.ClaimGranted
		case held.Kind == dragonflychange.Claim:
			r.Outcome = dragonflyresult.ClaimInProgress
		case held.Outcome == "unknown":
			r.Outcome = dragonflyresult.ClaimUnknown
		default:
			r = dragonflyresult.Result{Outcome: dragonflyresult.ClaimStored, Status: held.Status, Headers: held.Headers, Body: held.Body}
		}
	}
	return r
}

func modelRoute(i int, a *fakeAgent) dragonflyroute.Route {
	return dragonflyroute.Route{
		Key: "g" + strconv.Itoa(i), Group: uint64(i), Fence: uint64(i), Model: "sarta", Address: a.addr, Zone: "zona-a", Ready: true,
	}
}

func serviceRoute(i int, a *fakeAgent) dragonflyroute.Route {
	return dragonflyroute.Route{Key: "i" + strconv.Itoa(i), Service: "orders", Address: a.addr, Zone: "zona-a", Ready: true}
}

// runningEntry is an entry under test.
type runningEntry struct {
	url      string
	shutdown context.CancelFunc
	done     chan error
}

func startEntry(t testing.TB, set func(*dragonflyentrysettings.Settings), controls ...*fakeControl) *runningEntry {
	t.Helper()
	s := dragonflyentrysettings.Settings{Listen: "127.0.0.1:0", Zone: "zona-a", Key: internalKey}
	for _, c := range controls {
		s.Control = append(s.Control, c.addr)
	}
	if set != nil {
		set(&s)
	}
	ctx, cancel := context.WithCancel(context.Background())
	addr := make(chan string, 1)
	e := &runningEntry{shutdown: cancel, done: make(chan error, 1)}
	srv := &dragonflyentryserver.Server{Settings: s, Listening: func(a string) { addr <- a }}
	go func() { e.done <- srv.Run(ctx) }()
	t.Cleanup(cancel)
	select {
	case a := <-addr:
		e.url = "http://" + a
	case err := <-e.done:
		t.Fatal(err)
	}
	eventually(t, "the entry is ready", func() bool {
		res, err := http.Get(e.url + "/readyz")
		if err != nil {
			return false
		}
		_ = res.Body.Close()
		return res.StatusCode == 200
	})
	return e
}

// eventually waits until ok returns true and fails the test after 5 s.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not true after 5 s: " + what)
		}
	}
}
