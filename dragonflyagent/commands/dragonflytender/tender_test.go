package dragonflytender_test

import (
	"context"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"dragonflyrelay.example/dragonflyagent/commands/dragonflytender"
	"dragonflyrelay.example/dragonflyagent/values/dragonflytendsettings"
	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/common/dragonflypool"
	"dragonflyrelay.example/library/common/dragonflyrpcserver"
	"dragonflyrelay.example/library/values/dragonflyenginegroup"
	"dragonflyrelay.example/library/values/dragonflyfollowresponse"
	"dragonflyrelay.example/library/values/dragonflyobservation"
	"dragonflyrelay.example/library/values/dragonflyserverorder"
	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// world is a stand-in for control and for the engine of one agent.
type world struct {
	mu       sync.Mutex
	want     dragonflyserverorder.Order
	engine   dragonflyobservation.Observation
	answer   func(n int) (status int, err error) // of order n, from 0
	silent   bool
	gone     bool
	flaky    error // if not nil, every other look fails, and connecting with this
	looks    int
	orders   []dragonflyserverorder.Order
	reported []dragonflyobservation.Observation
}

func newWorld() *world {
	w := &world{answer: func(int) (int, error) { return 202, nil }}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	ctx, cancel := context.WithCancel(context.Background())
	control := &dragonflyrpcserver.Server{Pool: &dragonflypool.Pool{}, Unary: map[string]func(context.Context, []byte) ([]byte, error){
		"/dragonfly.control/Follow": w.follow,
	}}
	go func() { _ = control.Serve(ctx, l) }()
	t := &dragonflytender.Tender{
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

func (w *world) follow(ctx context.Context, req []byte) ([]byte, error) {
	q, err := dragonflycodec.UnmarshalFollowRequest(req)
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
	return dragonflycodec.MarshalFollowResponse(dragonflyfollowresponse.Response{Leads: true, Order: w.want})
}

func (w *world) report(context.Context, time.Duration) (o dragonflyobservation.Observation, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.looks++
	if w.silent || w.gone || w.flaky != nil && w.looks%2 == 0 {
		return o, errors.New("no answer")
	}
	return w.engine, nil
}

func (w *world) connect(context.Context, time.Duration) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone {
		return errors.New("no route")
	}
	return w.flaky
}

func (w *world) order(_ context.Context, _ time.Duration, o dragonflyserverorder.Order) (status int, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.orders = append(w.orders, o)
	return w.answer(len(w.orders) - 1)
}

func (w *world) set(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// until waits for at most 3 s until cond holds.
func (w *world) until(cond func() bool) {
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
func assertState(w *world, o dragonflyobservation.Observation) {
	w.until(func() bool { return len(w.reported) > 0 && w.reported[len(w.reported)-1].State == o.State })
}

func TestTender(t *testing.T) {
	join := dragonflyserverorder.Order{Kind: dragonflyserverorder.Join, Group: "g", Epoch: 5, Model: "m", Members: []string{"a"}}

	Convey("An order is given once while it shows effect, with the expected count", t, func() {
		w := newWorld()
		w.set(func() { w.want, w.engine.Orders = join, 3 })
		w.until(func() bool { return len(w.orders) == 1 })
		w.set(func() {
			So(w.orders[0].Expected, ShouldEqual, 3)
			w.engine.Group = dragonflyenginegroup.Group{Name: "g", Epoch: 5, State: dragonflyenginegroup.Joining}
		})
		time.Sleep(time.Second)
		w.set(func() { So(w.orders, ShouldHaveLength, 1) })
	})
	Convey("An order without an answer is given again at once", t, func() {
		w := newWorld()
		w.set(func() {
			w.want = join
			w.answer = func(n int) (int, error) {
				if n < 3 {
					return 0, errors.New("timeout")
				}
				return 202, nil
			}
		})
		began := time.Now()
		w.until(func() bool { return len(w.orders) >= 4 })
		So(time.Since(began), ShouldBeLessThan, time.Second)
	})
	toldAbsent := func(w *world) (n int) {
		for _, o := range w.reported {
			if o.State == dragonflyobservation.Unreachable {
				n++
			}
		}
		return n
	}
	Convey("A port that refuses connections tells at the first look that the engine is gone", t, func() {
		w := newWorld()
		w.set(func() { w.flaky = errors.WithMessage(syscall.ECONNREFUSED, "connect") })
		w.until(func() bool { return toldAbsent(w) > 0 })
	})
	Convey("Another failure does not, if the next look succeeds", t, func() {
		w := newWorld()
		w.set(func() { w.flaky = errors.New("connection reset") })
		w.until(func() bool { return w.looks > 12 })
		w.set(func() { So(toldAbsent(w), ShouldEqual, 0) })
	})
	Convey("An engine that is paused is not reported as gone", t, func() {
		w := newWorld()
		w.set(func() { w.silent = true })
		assertState(w, dragonflyobservation.Observation{State: dragonflyobservation.Silent})
		w.set(func() { w.silent, w.gone = false, true })
		assertState(w, dragonflyobservation.Observation{State: dragonflyobservation.Unreachable})
		w.set(func() { w.gone = false })
		assertState(w, dragonflyobservation.Observation{State: dragonflyobservation.Unknown})
	})
}
