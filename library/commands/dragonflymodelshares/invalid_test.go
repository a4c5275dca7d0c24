package dragonflymodelshares_test

import (
	"fmt"
	"math"
	"testing"

	"dragonflyrelay.example/library/values/dragonflymodeldemand"
	. "github.com/smartystreets/goconvey/convey"
)

// TestInvalidDemands guards against one report with an invalid figure that keeps the shares
// from following the demand from then on.
func TestInvalidDemands(t *testing.T) {
	for _, d := range []dragonflymodeldemand.Demand{
		{Work: math.NaN()}, {Work: math.Inf(1)}, {Work: 1, Refused: math.NaN()}, {Work: 1, Refused: math.Inf(-1)}, {Work: 1, Delay: math.NaN()},
		{Work: -1e12}, {Work: 1e300}, {Work: 1, Refused: 1e300}, {Work: 1, Refused: -1e300}, {Work: 1, Delay: 1e300},
	} {
		Convey(fmt.Sprintf("%+v", d), t, func() {
			p := newPlay()
			p.run(30 * second)
			d.Service, d.Model = "llm", "small"
			p.shares = p.shares.WithReport(p.now, "e0", []dragonflymodeldemand.Demand{d})
			p.shares, _ = p.shares.WithTime(p.now.Add(1)).WithLoads(p.now.Add(second/10), "llm", p.loads)
			p.run(second)
			p.assertConfigured()
			p.run(10 * second)
			p.assertConfigured()
			p.setShort()
			p.run(20 * second)
			So(p.changes, ShouldHaveLength, 1)
			So(p.shares.Planned("llm")["small"], ShouldBeBetween, 0.75, 0.85)
		})
	}
}
