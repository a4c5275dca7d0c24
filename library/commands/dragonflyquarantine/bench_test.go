package dragonflyquarantine_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyloss"
	"dragonflyrelay.example/library/values/dragonflypromptpart"
)

// BenchmarkDecide measures a decision on crashes at different moments: those of some
// seconds, and as many as are kept.
func BenchmarkDecide(b *testing.B) {
	for _, size := range [][3]int{{10, 20, 0}, {64, 128, 0}, {10, 20, 100}, {64, 128, 256}} {
		b.Run(fmt.Sprintf("%d crashes of %d parts and %d requests", size[0], size[1], size[2]), func(b *testing.B) {
			l := newLeader()
			var losses []dragonflyloss.Loss
			for i := range size[0] {
				var ids []string
				for j := range size[1] {
					ids = append(ids, fmt.Sprintf("p%d-%d", i, j))
				}
				lost := unanswered(ids...)
				for j := range size[2] {
					// A quarter of the requests wait at all crashes.
					lost = append(lost, dragonflypromptpart.Part{ID: fingerprint(fmt.Sprint(j, i*min(j%4, 1)))})
				}
				losses = append(losses, dragonflyloss.Loss{ID: fmt.Sprintf("i-%d", i), Boot: 1, Age: second / 4 * dragonflyduration.Duration(i), Parts: lost})
			}
			l.state = l.state.WithLosses(l.now, losses)
			l.now = l.now.Add(second)
			before := l.state
			for range b.N {
				l.state = before
				l.decide()
			}
		})
	}
}

// reported returns n losses of 64 parts and 256 requests each, as one entry reports them.
func reported(n int) (losses []dragonflyloss.Loss) {
	for i := range n {
		var keys []dragonflypromptpart.Part
		for j := range 64 {
			keys = append(keys, unanswered(fmt.Sprintf("p%d-%d", i, j))...)
		}
		for j := range 256 {
			keys = append(keys, dragonflypromptpart.Part{ID: fingerprint(fmt.Sprint(i, j))})
		}
		losses = append(losses, dragonflyloss.Loss{ID: fmt.Sprintf("i-%d", i), Boot: 1, Refused: true, Parts: keys})
	}
	return losses
}

// BenchmarkReport measures an entry's report of lost endpoints, before and after control has others.
func BenchmarkReport(b *testing.B) {
	for _, n := range []int{1, 32} {
		b.Run(fmt.Sprintf("%d losses", n), func(b *testing.B) {
			l, losses := newLeader(), reported(n)
			for range b.N {
				l.state.WithLosses(l.now, losses)
			}
		})
	}
}

// BenchmarkKept measures what the evidence of earlier hours costs: a decision after a crash beside as
// many old ones as are kept, each with three keys that were not answered, and a record of them.
func BenchmarkKept(b *testing.B) {
	l := newLeader()
	for i := range 300 {
		l.loseAt(1, append(unanswered(fmt.Sprint("p", i)), lost(fmt.Sprint("r", i))...)...)
		l.advance(30 * second)
	}
	b.Run("decision without a change", func(b *testing.B) {
		for range b.N {
			l.decide()
		}
	})
	b.Run("decision", func(b *testing.B) {
		l.state = l.state.WithLosses(l.now, reported(1))
		l.now = l.now.Add(second)
		before := l.state
		for range b.N {
			l.state = before
			l.decide()
		}
	})
	b.Run("record", func(b *testing.B) {
		for range b.N {
			l.state.Record(l.now)
		}
	})
}
