package dragonflypool_test

import (
	"context"
	"runtime"
	"testing"
	"time"

	"dragonflyrelay.example/library/common/dragonflypool"
	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
)

func TestPool(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()

	Convey("A task beyond the pool's size is rejected, not queued", t, func() {
		p := &dragonflypool.Pool{Size: 1, Name: "test"}
		release := make(chan struct{})
		So(p.Go(func() { <-release }), ShouldBeNil)
		So(errors.Is(p.Go(func() {}), dragonflypool.ErrFull), ShouldBeTrue)
		close(release)
		So(p.Wait(ctx), ShouldBeNil)
	})
	Convey("A panic of one task leaves the pool usable", t, func() {
		p := &dragonflypool.Pool{Size: 1, Name: "test-panic"}
		So(p.Go(func() { panic("test") }), ShouldBeNil)
		So(p.Wait(ctx), ShouldBeNil)
		ran := make(chan struct{})
		for p.Go(func() { close(ran) }) != nil {
			time.Sleep(time.Millisecond)
		}
		<-ran
	})
	Convey("Wait returns when its context ends while a task runs, and leaks no goroutine", t, func() {
		p := &dragonflypool.Pool{Size: 1, Name: "test-wait"}
		release := make(chan struct{})
		So(p.Go(func() { <-release }), ShouldBeNil)
		before := runtime.NumGoroutine()
		for range 20 {
			short, cancel := context.WithTimeout(ctx, time.Millisecond)
			So(p.Wait(short), ShouldEqual, context.DeadlineExceeded)
			cancel()
		}
		So(runtime.NumGoroutine(), ShouldBeLessThan, before+20)
		close(release)
		So(p.Wait(ctx), ShouldBeNil)
	})
	Convey("Wait returns at once on a pool that never ran a task", t, func() {
		So((&dragonflypool.Pool{}).Wait(ctx), ShouldBeNil)
	})
}
