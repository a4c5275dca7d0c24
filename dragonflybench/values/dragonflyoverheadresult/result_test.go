package dragonflyoverheadresult_test

import (
	"testing"

	"dragonflyrelay.example/dragonflybench/values/dragonflyloadresult"
	"dragonflyrelay.example/dragonflybench/values/dragonflyoverheadresult"
	"dragonflyrelay.example/dragonflybench/values/dragonflyquantiles"
	"dragonflyrelay.example/library/common/dragonflyduration"
	. "github.com/smartystreets/goconvey/convey"
)

const ms = dragonflyduration.Millisecond

func pathResult(whole int, p50, p99 dragonflyduration.Duration) dragonflyloadresult.Result {
	q := dragonflyquantiles.Quantiles{P50: p50, P99: p99}
	return dragonflyloadresult.Result{Requests: 10, Outcomes: map[string]int{"whole": whole}, FirstTokenFromSend: q, Gap: q}
}

// assertMet checks whether the comparison is reported as meeting the targets.
func assertMet(direct, through dragonflyloadresult.Result, met bool) {
	So(dragonflyoverheadresult.Result{Direct: direct, Through: through}.Met(), ShouldEqual, met)
}

func TestMet(t *testing.T) {
	Convey("The targets are met up to 1 ms at p50 and 4 ms at p99, and missed above", t, func() {
		assertMet(pathResult(10, 10*ms, 20*ms), pathResult(10, 11*ms, 24*ms), true)
		assertMet(pathResult(10, 10*ms, 20*ms), pathResult(10, 11*ms+1, 24*ms), false)
		assertMet(pathResult(10, 10*ms, 20*ms), pathResult(10, 11*ms, 24*ms+1), false)
	})
	Convey("The targets are missed if an answer was incomplete or there were no requests", t, func() {
		assertMet(pathResult(10, 10*ms, 20*ms), pathResult(9, 10*ms, 20*ms), false)
		assertMet(dragonflyloadresult.Result{}, dragonflyloadresult.Result{}, false)
	})
}
