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
