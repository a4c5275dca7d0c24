package dragonflyreservations_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dragonflyrelay.example/library/common/dragonflyclock"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflyreservations"
	. "github.com/smartystreets/goconvey/convey"
)

// TestReservations guards against a holder that is closed after its request has ended, which
// would hit the next request of its connection.
func TestReservations(t *testing.T) {
	var now dragonflyinstant.Instant
	newReservations := func() *dragonflyreservations.Reservations {
		return &dragonflyreservations.Reservations{Name: "test", Limit: 8 << 20, Clock: dragonflyclock.Clock{Read: func() dragonflyinstant.Instant {
			now = now.Add(dragonflyduration.Second)
			return now
		}}}
	}
	Convey("The heavier holder is closed once, and cannot reserve again", t, func() {
		r, closed := newReservations(), 0
		first, second := r.Open(func() { closed++ }), r.Open(func() {})
		So(r.Reserve(first, 5<<20, 0), ShouldBeTrue)
		go func() {
			for r.SetRunning(first, false) {
				time.Sleep(time.Millisecond)
			}
			r.Release(first)
		}()
		So(r.Reserve(second, 5<<20, 10*time.Second), ShouldBeTrue)
		So(closed, ShouldEqual, 1)
		So(r.Reserve(first, 1, 0), ShouldBeFalse)
		So(r.SetRunning(first, true), ShouldBeFalse)
		So(r.SetRunning(second, true), ShouldBeTrue)
	})
	Convey("A released holder is not closed", t, func() {
		r, closed := newReservations(), 0
		first, second := r.Open(func() { closed++ }), r.Open(func() {})
		So(r.Reserve(first, 5<<20, 0), ShouldBeTrue)
		r.Release(first)
		So(r.Reserve(second, 6<<20, 0), ShouldBeTrue)
		So(closed, ShouldEqual, 0)
	})
	Convey("A holder waits until another one has ended or has waited for too long", t, func() {
		r := &dragonflyreservations.Reservations{Name: "test", Limit: 8 << 20, Patience: dragonflyduration.Duration(200 * time.Millisecond)}
		var first, second, third uint64
		first, third = r.Open(func() {}), r.Open(func() {})
		second = r.Open(func() { go r.Release(second) })
		So(r.Await(first, 6<<20, 0), ShouldBeTrue)
		So(r.Await(second, 6<<20, 0), ShouldBeFalse)
		go r.Release(first)
		So(r.Await(second, 6<<20, 10*time.Second), ShouldBeTrue)
		So(r.Await(third, 6<<20, 10*time.Second), ShouldBeTrue)
		So(r.SetRunning(second, true), ShouldBeFalse)
		So(r.Await(third, 9<<20, time.Hour), ShouldBeFalse)
	})
	Convey("Memory is not granted before the holder that is closed for it has released it", t, func() {
		r := newReservations()
		first, second := r.Open(func() {}), r.Open(func() {})
		So(r.Reserve(first, 5<<20, 0), ShouldBeTrue)
		So(r.Reserve(second, 5<<20, 100*time.Millisecond), ShouldBeFalse)
		So(r.SetRunning(first, true), ShouldBeFalse)
		r.Release(first)
		So(r.Reserve(second, 5<<20, 0), ShouldBeTrue)
		So(r.Reserve(second, 1<<20, 0), ShouldBeTrue)
	})
	Convey("Holders in parallel leave nothing reserved", t, func() {
		r := &dragonflyreservations.Reservations{Name: "parallel", Limit: 8 << 20}
		var running sync.WaitGroup
		var closed atomic.Int64
		for range 8 {
			running.Go(func() {
				for range 200 {
					id := r.Open(func() { closed.Add(1) })
					_ = r.Reserve(id, 1<<20, 0) && r.Reserve(id, 3<<20, 0) && r.SetRunning(id, true)
					r.Release(id)
				}
			})
		}
		running.Wait()
		id := r.Open(func() {})
		So(r.Reserve(id, 6<<20, 0), ShouldBeTrue)
	})
}
