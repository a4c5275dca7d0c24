package dragonflyquarantine_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyloss"
)

// BenchmarkDecide measures a decision on crashes at different moments: those of some
// seconds, and as many as are kept.
func BenchmarkDecide(b *testing.B) {
	for _, size := range [][2]int{{10, 20}, {64, 128}} {
		b.Run(fmt.Sprintf("%d crashes of %d parts", size[0], size[1]), func(b *testing.B) {
			l := newLeader()
			for i := range size[0] {
				var ids []string
				for j := range size[1] {
					ids = append(ids, fmt.Sprintf("p%d-%d", i, j))
				}
				l.state = l.state.WithLosses(l.now, []dragonflyloss.Loss{{ID: fmt.Sprintf("i-%d", i), Boot: 1, Age: second / 4 * dragonflyduration.Duration(i), Parts: unanswered(ids...)}})
			}
			l.now = l.now.Add(second)
			for range b.N {
				l.decide()
			}
		})
	}
}
