package dragonflyring_test

import (
	"context"
	"expvar"
	"fmt"
	"sync"
	"testing"
	"time"

	"dragonflyrelay.example/library/common/dragonflyring"
	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// waitLimit bounds the duration of these tests.
const waitLimit = 10 * time.Second

// assertTaken requires that Take returns the items of want in order.
func assertTaken(ctx context.Context, r *dragonflyring.Ring[int], want ...int) {
	for _, w := range want {
		v, err := r.Take(ctx)
		So(err, ShouldBeNil)
		So(v, ShouldEqual, w)
	}
}

func TestRing(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()

	Convey("A full ring rejects an item and counts the refusal", t, func() {
		r := dragonflyring.New[int]("test-full", 2)
		So(r.TryPut(1), ShouldBeNil)
		So(r.TryPut(2), ShouldBeNil)
		So(r.TryPut(3), ShouldEqual, dragonflyring.ErrFull)
		assertTaken(ctx, r, 1, 2)
		refusals := expvar.Get("dragonfly-ring-refusals").(*expvar.Map)
		So(refusals.Get("test-full").String(), ShouldEqual, "1")
	})
	Convey("Put on a full ring returns when its context ends", t, func() {
		r := dragonflyring.New[int]("test-wait", 1)
		So(r.Put(ctx, 1), ShouldBeNil)
		short, cancel := context.WithTimeout(ctx, time.Millisecond)
		defer cancel()
		So(errors.Is(r.Put(short, 2), context.DeadlineExceeded), ShouldBeTrue)
		assertTaken(ctx, r, 1)
	})
	Convey("A closed ring returns its remaining items and rejects new ones", t, func() {
		r := dragonflyring.New[int]("test-closed", 4)
		So(r.Put(ctx, 1), ShouldBeNil)
		r.Close()
		r.Close()
		So(r.Put(ctx, 2), ShouldEqual, dragonflyring.ErrClosed)
		So(r.TryPut(2), ShouldEqual, dragonflyring.ErrClosed)
		assertTaken(ctx, r, 1)
		_, err := r.Take(ctx)
		So(err, ShouldEqual, dragonflyring.ErrClosed)
	})
	Convey("The depth of a closed ring is no longer exported, that of a later one with its name is", t, func() {
		depths := expvar.Get("dragonfly-ring-depth").(*expvar.Map)
		first := dragonflyring.New[int]("test-depth", 1)
		second := dragonflyring.New[int]("test-depth", 1)
		first.Close()
		So(depths.Get("test-depth"), ShouldNotBeNil)
		second.Close()
		So(depths.Get("test-depth"), ShouldBeNil)
	})
	Convey("Concurrent puts lose or duplicate no item", t, func() {
		const producers, each = 8, 500
		r := dragonflyring.New[int]("test-many", 3)
		var wg sync.WaitGroup
		for p := range producers {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for i := range each {
					_ = r.Put(ctx, p*each+i)
				}
			}()
		}
		seen := map[int]bool{}
		for range producers * each {
			v, err := r.Take(ctx)
			if err != nil {
				break
			}
			seen[v] = true
		}
		wg.Wait()
		So(len(seen), ShouldEqual, producers*each)
	})
}

func ExampleRing() {
	ctx := context.Background()
	r := dragonflyring.New[string]("example", 1)
	fmt.Println(r.TryPut("first"), r.TryPut("second"))
	v, err := r.Take(ctx)
	fmt.Println(v, err)
	// Output:
	// <nil> ring is full
	// first <nil>
}
