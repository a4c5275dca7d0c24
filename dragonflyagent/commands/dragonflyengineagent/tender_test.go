package dragonflyengineagent_test

import (
	"context"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"dragonflyrelay.example/dragonflyagent/commands/dragonflyengineagent"
	"dragonflyrelay.example/dragonflyagent/values/dragonflytendsettings"
	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/common/dragonflypool"
	"dragonflyrelay.example/library/common/dragonflyrpcserver"
	"dragonflyrelay.example/library/values/dragonflyenginegroup"
	"dragonflyrelay.example/library/values/dragonflynews"
	"dragonflyrelay.example/library/values/dragonflyobservation"
	"dragonflyrelay.example/library/values/dragonflyserverorder"
	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// simulation is a stand-in for control and for the engine of one agent.
type simulation struct {
	mu                sync.Mutex
	wantedOrder       dragonflyserverorder.Order
	engine            dragonflyobservation.Observation
	answer            func(n int) (status int, err error) // of order n, from 0
	silent            bool
	unreachable       bool
	intermittentError error // if not nil, every other look fails, and connecting with this
	polls             int
	orders            []dragonflyserverorder.Order
	reported          []dragonflyobservation.Observation
}

func newSimulation() *simulation {
	w := &simulation{answer: func(int) (int, error) { return 202, nil }}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	ctx, cancel := context.WithCancel(context.Background())
	control := &dragonflyrpcserver.Server{Pool: &dragonflypool.Pool{}, Unary: map[string]func(context.Context, []byte) ([]byte, error){
		"/dragonfly.control/Follow": w.follow,
	}}
	go func() { _ = control.Serve(ctx, l) }()
	t := &dragonflyengineagent.Agent{
		Settings: dragonflytendsettings.Settings{Name: "agent", Engine: "engine", Control: []string{l.Addr().String()}},
		Report:   w.report, Order: w.order, Connect: w.connect,
	}
	ended := make(chan error, 1)
	go func() { ended <- t.Run(ctx) }()
	Reset(func() {
		cancel()
		<-ended
	})
	return w
}

func (w *simulation) follow(ctx context.Context, req []byte) ([]byte, error) {
	q, err := dragonflycodec.UnmarshalQuestion(req)
	if err != nil {
		return nil, err
	}
	if len(q.Reports) == 0 {
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reported = append(w.reported, q.Reports...)
	return dragonflycodec.MarshalNews(dragonflynews.News{Leads: true, Order: w.wantedOrder})
}

func (w *simulation) report(context.Context, time.Duration) (o dragonflyobservation.Observation, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.polls++
	if w.silent || w.unreachable || w.intermittentError != nil && w.polls%2 == 0 {
		return o, errors.New("no answer")
	}
	return w.engine, nil
}

func (w *simulation) connect(context.Context, time.Duration) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unreachable {
		return errors.New("no route")
	}
	return w.intermittentError
}

func (w *simulation) order(_ context.Context, _ time.Duration, o dragonflyserverorder.Order) (status int, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.orders = append(w.orders, o)
	return w.answer(len(w.orders) - 1)
}

func (w *simulation) set(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// waitUntil waits for at most 3 s until cond holds.
func (w *simulation) waitUntil(cond func() bool) {
	held := false
	for range 150 {
		w.set(func() { held = cond() })
		if held {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	So(held, ShouldBeTrue)
}

// assertState guards what control was told last.
func assertState(w *simulation, o dragonflyobservation.Observation) {
	w.waitUntil(func() bool { return len(w.reported) > 0 && w.reported[len(w.reported)-1].State == o.State })
}

func TestAgent(t *testing.T) {
	join := dragonflyserverorder.Order{Kind: dragonflyserverorder.Join, Group: "g", Epoch: 5, Model: "m", Members: []string{"a"}}

	Convey("An order is given once while it shows effect, with the expected count", t, func() {
		w := newSimulation()
		w.set(func() { w.wantedOrder, w.engine.Orders = join, 3 })
		w.waitUntil(func() bool { return len(w.orders) == 1 })
		w.set(func() {
			So(w.orders[0].Expected, ShouldEqual, 3)
			w.engine.Group = dragonflyenginegroup.Group{Name: "g", Epoch: 5, State: dragonflyenginegroup.Joining}
		})
		time.Sleep(time.Second)
		w.set(func() { So(w.orders, ShouldHaveLength, 1) })
	})
	Convey("An order without an answer is given again at once", t, func() {
		w := newSimulation()
		w.set(func() {
			w.wantedOrder = join
			w.answer = func(n int) (int, error) {
				if n < 3 {
					return 0, errors.New("timeout")
				}
				return 202, nil
			}
		})
		began := time.Now()
		w.waitUntil(func() bool { return len(w.orders) >= 4 })
		So(time.Since(began), ShouldBeLessThan, time.Second)
	})
	toldAbsent := func(w *simulation) (n int) {
		for _, o := range w.reported {
			if o.State == dragonflyobservation.Unreachable {
				n++
			}
		}
		return n
	}
	Convey("A port that refuses connections tells at the first look that the engine is gone", t, func() {
		w := newSimulation()
		w.set(func() { w.intermittentError = errors.WithMessage(syscall.ECONNREFUSED, "connect") })
		w.waitUntil(func() bool { return toldAbsent(w) > 0 })
	})
	Convey("Another failure does not, if the next look succeeds", t, func() {
		w := newSimulation()
		w.set(func() { w.intermittentError = errors.New("connection reset") })
		w.waitUntil(func() bool { return w.polls > 12 })
		w.set(func() { So(toldAbsent(w), ShouldEqual, 0) })
	})
	Convey("An engine that is paused is not reported as gone", t, func() {
		w := newSimulation()
		w.set(func() { w.silent = true })
		assertState(w, dragonflyobservation.Observation{State: dragonflyobservation.Silent})
		w.set(func() { w.silent, w.unreachable = false, true })
		assertState(w, dragonflyobservation.Observation{State: dragonflyobservation.Unreachable})
		w.set(func() { w.unreachable = false })
		assertState(w, dragonflyobservation.Observation{State: dragonflyobservation.Unknown})
	})
}
