package dragonflyreturnestimates_test

import (
	"testing"

	"dragonflyrelay.example/dragonflycontrol/common/dragonflyreturnestimates"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflymodelreturn"
	. "github.com/smartystreets/goconvey/convey"
)

const ms = dragonflyduration.Millisecond

// TestReturnEstimates guards against a leader that passes over all upstreams for each entry that
// asks while a model has no group, and against estimates that entries get too late.
func TestReturnEstimates(t *testing.T) {
	Convey("Given estimates that were made once", t, func() {
		var r dragonflyreturnestimates.ReturnEstimates
		made, start := 0, dragonflyinstant.Instant(1)
		assertIn := func(at dragonflyduration.Duration, changes uint64, in dragonflyduration.Duration, times int) {
			all := r.From(start.Add(at), changes, func() []dragonflymodelreturn.Return {
				made++
				return []dragonflymodelreturn.Return{{Service: "llm", Model: "m", In: 60 * ms}}
			})
			So(all, ShouldHaveLength, 1)
			So(all[0].In, ShouldEqual, in)
			So(made, ShouldEqual, times)
		}
		assertIn(0, 7, 60*ms, 1)
		Convey("they serve other entries, from the time of each", func() {
			for range 52 {
				assertIn(20*ms, 7, 40*ms, 1)
			}
			assertIn(80*ms, 7, 0, 1)
		})
		Convey("they are made anew after a change", func() { assertIn(20*ms, 8, 60*ms, 2) })
		Convey("they are made anew once they are old", func() { assertIn(100*ms, 7, 60*ms, 2) })
	})
}
