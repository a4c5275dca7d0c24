package dragonflyengineagent_test

import (
	"context"
	"net"
	"os"
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
	"dragonflyrelay.example/library/values/dragonflyfollowresponse"
	"dragonflyrelay.example/library/values/dragonflyobservation"
	"dragonflyrelay.example/library/values/dragonflyserverorder"
	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// simulation stands in for control and for the engine of one agent.
type simulation struct {
	mu                sync.Mutex
	wantedOrder       dragonflyserverorder.Order
	engine            dragonflyobservation.Observation
	answer            func(n int) (status int, err error) // to the order with index n
	silent            bool
	unreachable       bool
	connectError      error         // of an engine that is not unreachable
	delay             time.Duration // by which the agent notices late that a connection has timed out
	controlDown       bool          // control answers no call
	intermittentError error         // if not nil, every other poll fails, and connecting fails with this error
	polls             int
	orders            []dragonflyserverorder.Order
	reported          []dragonflyobservation.Observation
}

func newSimulation() *simulation {
	s := &simulation{answer: func(int) (int, error) { return 202, nil }}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	ctx, cancel := context.WithCancel(context.Background())
	control := &dragonflyrpcserver.Server{Pool: &dragonflypool.Pool{}, Unary: map[string]func(context.Context, []byte) ([]byte, error){
		"/dragonfly.control/Follow": s.follow,
	}}
	go func() { _ = control.Serve(ctx, l) }()
	a := &dragonflyengineagent.Agent{
		Settings: dragonflytendsettings.Settings{Name: "agent", Engine: "engine", Control: []string{l.Addr().String()}},
		Report:   s.report, Order: s.order, Connect: s.connect,
	}
	ended := make(chan error, 1)
	go func() { ended <- a.Run(ctx) }()
	Reset(func() {
		cancel()
		<-ended
	})
	return s
}

func (s *simulation) follow(ctx context.Context, req []byte) ([]byte, error) {
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
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.controlDown {
		return nil, errors.New("down")
	}
	s.reported = append(s.reported, q.Reports...)
	return dragonflycodec.MarshalFollowResponse(dragonflyfollowresponse.Response{Leads: true, Order: s.wantedOrder})
}

func (s *simulation) report(context.Context, time.Duration) (o dragonflyobservation.Observation, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.polls++
	if s.silent || s.unreachable || s.intermittentError != nil && s.polls%2 == 0 {
		return o, errors.New("no answer")
	}
	return s.engine, nil
}

func (s *simulation) connect(_ context.Context, timeout time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.delay > 0 {
		time.Sleep(timeout + s.delay)
	}
	if s.unreachable {
		return errors.New("no route")
	}
	if s.connectError != nil {
		return s.connectError
	}
	return s.intermittentError
}

func (s *simulation) order(_ context.Context, _ time.Duration, o dragonflyserverorder.Order) (status int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders = append(s.orders, o)
	return s.answer(len(s.orders) - 1)
}

func (s *simulation) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// waitUntil waits up to 3 s for cond to hold.
func (s *simulation) waitUntil(cond func() bool) {
	held := false
	for range 150 {
		s.set(func() { held = cond() })
		if held {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	So(held, ShouldBeTrue)
}

// assertState guards against a wrong state in the latest report to control.
func assertState(s *simulation, o dragonflyobservation.Observation) {
	s.waitUntil(func() bool { return len(s.reported) > 0 && s.reported[len(s.reported)-1].State == o.State })
}

func TestAgent(t *testing.T) {
	join := dragonflyserverorder.Order{Kind: dragonflyserverorder.Join, Group: "g", Epoch: 5, Model: "m", Members: []string{"a"}}

	Convey("An order that takes effect is sent once, with the number of orders that the engine has accepted before it", t, func() {
		s := newSimulation()
		polls := 0
		s.set(func() { s.engine.Orders, polls = 3, s.polls })
		// The second poll from now on begins after the agent has the count of the first.
		s.waitUntil(func() bool { return s.polls >= polls+2 })
		s.set(func() { s.wantedOrder = join })
		s.waitUntil(func() bool { return len(s.orders) == 1 })
		s.set(func() {
			So(s.orders[0].Expected, ShouldEqual, 3)
			s.engine.Group = dragonflyenginegroup.Group{Name: "g", Epoch: 5, State: dragonflyenginegroup.Joining}
		})
		time.Sleep(time.Second)
		s.set(func() { So(s.orders, ShouldHaveLength, 1) })
	})
	Convey("An order that control has based on an earlier state of the engine is not sent", t, func() {
		s := newSimulation()
		order := join
		order.HasExpected, order.Expected = true, 2
		s.set(func() { s.engine.Orders, s.wantedOrder = 3, order })
		time.Sleep(time.Second)
		s.set(func() {
			So(s.orders, ShouldBeEmpty)
			s.wantedOrder.Expected = 3
		})
		s.waitUntil(func() bool { return len(s.orders) > 0 })
		s.set(func() { So(s.orders[0].Expected, ShouldEqual, 3) })
	})
	Convey("Control is told at once of an order that the engine has accepted", t, func() {
		// Without a change, an engine is reported once a second.
		const changes, limit = 5, 2500 * time.Millisecond
		s, began := newSimulation(), time.Now()
		for n := range uint64(changes) {
			s.set(func() { s.engine.Orders = n + 1 })
			s.waitUntil(func() bool { return len(s.reported) > 0 && s.reported[len(s.reported)-1].Orders == n+1 })
		}
		So(time.Since(began), ShouldBeLessThan, limit)
	})
	Convey("An order without an answer is sent again within the shorter retry interval", t, func() {
		s := newSimulation()
		s.set(func() {
			s.wantedOrder = join
			s.answer = func(n int) (int, error) {
				if n < 3 {
					return 0, errors.New("timeout")
				}
				return 202, nil
			}
		})
		began := time.Now()
		s.waitUntil(func() bool { return len(s.orders) >= 4 })
		So(time.Since(began), ShouldBeLessThan, time.Second)
	})
	Convey("A join that the engine refuses for a higher epoch is reported until it starts again or joins", t, func() {
		s := newSimulation()
		reportsRefusal := func(epoch uint64) {
			s.waitUntil(func() bool { return len(s.reported) > 0 && s.reported[len(s.reported)-1].RefusedEpoch == epoch })
		}
		s.set(func() { s.engine.Boot, s.wantedOrder, s.answer = 7, join, func(int) (int, error) { return 412, nil } })
		reportsRefusal(join.Epoch)
		s.set(func() {
			s.engine.Group = dragonflyenginegroup.Group{Name: "h", Epoch: join.Epoch + 1, State: dragonflyenginegroup.Ready}
		})
		reportsRefusal(0)
		s.set(func() { s.engine.Group = dragonflyenginegroup.Group{} })
		reportsRefusal(join.Epoch)
		s.set(func() { s.engine.Boot, s.wantedOrder = 8, dragonflyserverorder.Order{} })
		reportsRefusal(0)
	})
	unreachableReports := func(s *simulation) (n int) {
		for _, o := range s.reported {
			if o.State == dragonflyobservation.Unreachable {
				n++
			}
		}
		return n
	}
	Convey("An engine whose port refuses connections is reported as unreachable after one failed poll", t, func() {
		s := newSimulation()
		s.set(func() { s.intermittentError = errors.WithMessage(syscall.ECONNREFUSED, "connect") })
		s.waitUntil(func() bool { return unreachableReports(s) > 0 })
	})
	Convey("The report of a refused connection names the group that the engine was in, the order to leave it is not sent", t, func() {
		s := newSimulation()
		group := dragonflyenginegroup.Group{Name: "g", Epoch: 5, State: dragonflyenginegroup.Open}
		polls := 0
		s.set(func() { s.engine.Group, polls = group, s.polls })
		s.waitUntil(func() bool { return s.polls >= polls+2 })
		s.set(func() { s.silent, s.connectError = true, errors.WithMessage(syscall.ECONNREFUSED, "connect") })
		s.waitUntil(func() bool { return unreachableReports(s) > 0 })
		s.set(func() {
			s.wantedOrder = dragonflyserverorder.Order{Kind: dragonflyserverorder.Leave, Group: "g", Epoch: 5}
		})
		s.waitUntil(func() bool { return unreachableReports(s) > 3 })
		s.set(func() {
			last := s.reported[len(s.reported)-1]
			So(last.Refused, ShouldBeTrue)
			So(last.Group, ShouldResemble, group)
			So(s.orders, ShouldBeEmpty)
		})
	})
	Convey("An engine is not reported as unreachable after a failure other than a refused connection if the next poll succeeds", t, func() {
		s := newSimulation()
		s.set(func() { s.intermittentError = errors.New("connection reset") })
		s.waitUntil(func() bool { return s.polls > 12 })
		s.set(func() { So(unreachableReports(s), ShouldEqual, 0) })
	})
	Convey("A paused engine whose queue of connections is full stays silent", t, func() {
		s := newSimulation()
		s.set(func() { s.silent = true })
		assertState(s, dragonflyobservation.Observation{State: dragonflyobservation.Silent})
		s.set(func() { s.connectError = errors.WithMessage(os.ErrDeadlineExceeded, "connect") })
		time.Sleep(500 * time.Millisecond)
		s.set(func() {
			So(unreachableReports(s), ShouldEqual, 0)
			s.silent = false
		})
		assertState(s, dragonflyobservation.Observation{State: dragonflyobservation.Unknown})
	})
	Convey("Timeouts that the agent notices late say nothing of the engine", t, func() {
		s := newSimulation()
		s.waitUntil(func() bool { return len(s.reported) > 0 })
		s.set(func() {
			s.silent, s.connectError, s.delay = true, errors.WithMessage(os.ErrDeadlineExceeded, "connect"), 100*time.Millisecond
		})
		time.Sleep(time.Second)
		s.set(func() { So(unreachableReports(s), ShouldEqual, 0) })
	})
	Convey("An order that control no longer confirms is not sent", t, func() {
		s := newSimulation()
		s.set(func() { s.wantedOrder, s.answer = join, func(int) (int, error) { return 409, nil } })
		s.waitUntil(func() bool { return len(s.orders) > 0 })
		orders := 0
		s.set(func() { s.controlDown = true })
		time.Sleep(3500 * time.Millisecond)
		s.set(func() { orders = len(s.orders) })
		time.Sleep(1500 * time.Millisecond)
		s.set(func() {
			So(s.orders, ShouldHaveLength, orders)
			s.controlDown = false
		})
		s.waitUntil(func() bool { return len(s.orders) > orders })
	})
	Convey("An engine that takes no connection from the first failure on is reported as unreachable", t, func() {
		s := newSimulation()
		s.set(func() { s.silent, s.connectError = true, errors.WithMessage(os.ErrDeadlineExceeded, "connect") })
		assertState(s, dragonflyobservation.Observation{State: dragonflyobservation.Unreachable})
	})
	Convey("After a time without control, the first report is of the present state", t, func() {
		s := newSimulation()
		s.waitUntil(func() bool { return len(s.reported) > 0 })
		s.set(func() { s.controlDown, s.silent = true, true })
		time.Sleep(500 * time.Millisecond)
		reports := 0
		group := dragonflyenginegroup.Group{Name: "g", Epoch: 5, State: dragonflyenginegroup.Open}
		s.set(func() { s.silent, s.engine.Group = false, group })
		time.Sleep(500 * time.Millisecond)
		s.set(func() { s.controlDown, reports = false, len(s.reported) })
		s.waitUntil(func() bool { return len(s.reported) > reports })
		s.set(func() {
			So(s.reported[reports].State, ShouldEqual, dragonflyobservation.Unknown)
			So(s.reported[reports].Group, ShouldResemble, group)
		})
	})
	Convey("A paused engine is reported as silent, not as unreachable", t, func() {
		s := newSimulation()
		s.set(func() { s.silent = true })
		assertState(s, dragonflyobservation.Observation{State: dragonflyobservation.Silent})
		s.set(func() { s.silent, s.unreachable = false, true })
		assertState(s, dragonflyobservation.Observation{State: dragonflyobservation.Unreachable})
		s.set(func() { s.unreachable = false })
		assertState(s, dragonflyobservation.Observation{State: dragonflyobservation.Unknown})
	})
}
