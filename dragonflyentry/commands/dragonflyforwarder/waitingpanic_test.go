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
