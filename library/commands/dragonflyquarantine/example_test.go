package dragonflyquarantine_test

import (
	"fmt"

	"dragonflyrelay.example/library/commands/dragonflyquarantine"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyloss"
	"dragonflyrelay.example/library/values/dragonflypromptpart"
)

// Three engines stop, a second apart, while they have a request with the parts "greeting"
// and "table" that is not answered yet. The part "greeting" was answered in between.
func ExampleQuarantine() {
	var q dragonflyquarantine.Quarantine
	now := dragonflyinstant.Instant(dragonflyduration.Hour)
	stopped := func(string, int64) bool { return true }
	for _, engine := range []string{"i-1", "i-2", "i-3"} {
		now = now.Add(dragonflyduration.Second)
		q = q.WithLosses(now, []dragonflyloss.Loss{{ID: engine, Boot: 1, Parts: []dragonflypromptpart.Part{
			{ID: "greeting", Served: true, ServedAge: 200 * dragonflyduration.Millisecond},
			{ID: "table", Depth: 1},
		}}})
	}
	now = now.Add(dragonflyduration.Second)
	q, occurrences := q.Decide(now, stopped)
	fmt.Println(q.Quarantines("greeting"), q.Quarantines("table"))
	fmt.Println(occurrences[0].Detail)
	// Output:
	// false true
	// part table: servers crashed with it at 3 moments, 3 with causes of their own, the first one 3 s ago
}
