package dragonflyforwarder

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"dragonflyrelay.example/dragonflyentry/values/dragonflyforwardsettings"
	"dragonflyrelay.example/library/commands/dragonflywaitingroom"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflywaitingevent"
	"dragonflyrelay.example/library/values/dragonflywaitingrequest"
	"dragonflyrelay.example/library/values/dragonflywaitingverdict"
	. "github.com/smartystreets/goconvey/convey"
)

// TestWaitingPanic guards against a room whose due event panics again and again, and against
// requests that get no verdict after a panic.
func TestWaitingPanic(t *testing.T) {
	Convey("After a panic all waiting requests are refused and the room starts empty", t, func() {
		s := &Server{Settings: dragonflyforwardsettings.Settings{Name: "e1", WaitingMemory: 1 << 20}}
		d := newWaitingDuty(s)
		var steps atomic.Int64
		d.step = func(r dragonflywaitingroom.Room, now dragonflyinstant.Instant, ev dragonflywaitingevent.Event) (dragonflywaitingroom.Room, []dragonflywaitingverdict.Verdict) {
			steps.Add(1)
			if ev.Kind == dragonflywaitingevent.Ticked {
				panic("due event")
			}
			return r.Step(now, ev)
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- d.Run(ctx) }()
		arrive := func(id uint64, wait dragonflyduration.Duration) chan dragonflywaitingverdict.Verdict {
			now, reply := s.Clock.Now(), make(chan dragonflywaitingverdict.Verdict, 1)
			So(d.requests.Put(ctx, waitingRequest{reply: reply, event: dragonflywaitingevent.Event{Kind: dragonflywaitingevent.Arrived, Request: dragonflywaitingrequest.Request{
				ID: id, Unrouted: true, Began: now, Until: now.Add(wait), Deadline: now.Add(6 * dragonflyduration.Second),
			}}}), ShouldBeNil)
			return reply
		}
		// The document is expected after 1.3 s, and the shorter wait ends first.
		replies := []chan dragonflywaitingverdict.Verdict{arrive(1, 1410*dragonflyduration.Millisecond), arrive(2, 1500*dragonflyduration.Millisecond)}
		for i, reply := range replies {
			select {
			case v := <-reply:
				So(v.ID, ShouldEqual, i+1)
				So(v.Released, ShouldBeFalse)
				So(v.RetryAfter, ShouldEqual, unavailableRetryDelay)
			case <-time.After(3 * time.Second):
				So("no verdict", ShouldBeEmpty)
			}
		}
		time.Sleep(100 * time.Millisecond)
		So(steps.Load(), ShouldEqual, 3)
		select {
		case <-arrive(3, 1500*dragonflyduration.Millisecond):
			So("refused at once", ShouldBeEmpty)
		case <-time.After(50 * time.Millisecond):
		}
		cancel()
		So(<-ended, ShouldNotBeNil)
		So(d.state.Len(), ShouldEqual, 1)
	})
}

// TestLeaveFullRing guards against the memory of a request that stays in the room because
// its caller has left while the ring was full.
func TestLeaveFullRing(t *testing.T) {
	start := func(wait dragonflyduration.Duration) (s *Server, left chan struct{}) {
		s, left = &Server{requests: context.Background()}, make(chan struct{})
		s.waiting = newWaitingDuty(s)
		for range waitingRingSize {
			So(s.waiting.requests.TryPut(waitingRequest{}), ShouldBeNil)
		}
		q := &request{owner: s, waitingID: 7, waitingUntil: s.Clock.Now().Add(wait)}
		go func() {
			q.leaveRoom()
			close(left)
		}()
		return s, left
	}
	Convey("The departure is passed on once the ring has room", t, func() {
		s, left := start(dragonflyduration.Minute)
		var last waitingRequest
		for range waitingRingSize + 1 {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			r, err := s.waiting.requests.Take(ctx)
			cancel()
			So(err, ShouldBeNil)
			last = r
		}
		<-left
		So(last.event.Kind, ShouldEqual, dragonflywaitingevent.Left)
		So(last.event.ID, ShouldEqual, 7)
	})
	Convey("The handler ends with the wait of its request", t, func() {
		_, left := start(50 * dragonflyduration.Millisecond)
		select {
		case <-left:
		case <-time.After(2 * time.Second):
			So("still blocked", ShouldBeEmpty)
		}
	})
}
