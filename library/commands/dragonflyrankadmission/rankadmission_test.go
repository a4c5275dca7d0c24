package dragonflyrankadmission_test

import (
	"fmt"
	"math/rand"
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyrankadmission"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflymodeladmission"
	. "github.com/smartystreets/goconvey/convey"
)

const ms = dragonflyduration.Millisecond

// counts are the requests that arrived and those that were served, by name.
type counts map[string][2]float64

func (c counts) add(name string, served bool) {
	n := c[name]
	if n[0]++; served {
		n[1]++
	}
	c[name] = n
}

func (c counts) rate(name string) float64 { return c[name][1] / c[name][0] }

// decide lets requests of two ranks arrive every 2 ms for 10 s. One workspace sends four
// fifths of them, and a tenth of each rank has a prompt of ten times the usual length.
func decide(own float64, d dragonflymodeladmission.Admission) counts {
	r, c := rand.New(rand.NewSource(3)), counts{}
	var a dragonflyrankadmission.Admission
	for i := range 5000 {
		now := dragonflyinstant.Instant(i)*dragonflyinstant.Instant(2*ms) + 1
		if i%250 == 0 {
			a = a.WithDecision(now, d)
		}
		rank, workspace, tokens, size := r.Intn(2), "big", 700.0, "usual"
		if r.Float64() > 0.8 {
			workspace = fmt.Sprint("small", r.Intn(4))
		}
		if r.Float64() < 0.1 {
			tokens, size = 7000, "large"
		}
		next, refuse := a.Decide(now, own, rank, workspace, tokens)
		a = next
		for _, name := range []string{"all", fmt.Sprint(rank), fmt.Sprint(rank, " ", size), workspace} {
			c.add(name, !refuse)
		}
	}
	return c
}

// TestFairness guards against workspaces, ranks and sizes that get too little.
func TestFairness(t *testing.T) {
	for _, own := range []float64{0.1, 0.3, 0.5, 0.7} {
		Convey(fmt.Sprintf("The bounds hold when %g of the requests have to be refused", own), t, func() {
			c := decide(own, dragonflymodeladmission.Admission{Rank: 0, Fraction: 1 - own})
			for _, rank := range []string{"0", "1"} {
				So(c.rate(rank+" large"), ShouldBeGreaterThan, c.rate(rank)/2)
				So(c.rate(rank), ShouldBeGreaterThan, c.rate("all")/4)
			}
			So(c.rate("big"), ShouldBeGreaterThan, c.rate("all")/4)
			So(c.rate("0"), ShouldBeGreaterThan, c.rate("1"))
			So(c.rate("big"), ShouldBeLessThan, c.rate("small1"))
		})
	}
}

// TestValidity guards against decisions that are applied when they are too old.
func TestValidity(t *testing.T) {
	Convey("A decision holds for less than 2 s", t, func() {
		var a dragonflyrankadmission.Admission
		So(a.Valid(1), ShouldBeFalse)
		a = a.WithDecision(1, dragonflymodeladmission.Admission{Rank: 0, Fraction: 0.1})
		So(a.Valid(dragonflyinstant.Instant(1999*ms)), ShouldBeTrue)
		So(a.Valid(dragonflyinstant.Instant(2001*ms)), ShouldBeFalse)
		for range 100 {
			next, refuse := a.Decide(dragonflyinstant.Instant(2001*ms), 0.9, 5, "w", 100)
			So(refuse, ShouldBeFalse)
			a = next
		}
	})
}
