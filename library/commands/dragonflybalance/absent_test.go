package dragonflybalance_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestAbsentBesideCold guards against a request that waits for another routing table while a
// cold endpoint takes it a moment later.
func TestAbsentBesideCold(t *testing.T) {
	for name, leaving := range map[string]string{"after": "z", "before": "A"} {
		Convey("With an endpoint that leaves listed "+name+" a cold one, endpoints are cold and not absent", t, func() {
			cold, leaves := plain("m"), plain(leaving)
			cold.ColdLeft, leaves.Leaving = 3*second, true
			s := newSimulation(cold, leaves)
			c := s.choose("plain")
			for range 20 {
				if !c.OK {
					break
				}
				c = s.choose("plain")
			}
			So(c.OK, ShouldBeFalse)
			So(c.Absent, ShouldBeFalse)
			So(c.Cold, ShouldBeTrue)
		})
	}
}
