package dragonflyleaving_test

import (
	"fmt"

	"dragonflyrelay.example/library/commands/dragonflyleaving"
	"dragonflyrelay.example/library/common/dragonflyinstant"
)

// An upstream that leaves is known by its start: a later one under its id serves.
func ExampleLeaving() {
	now := dragonflyinstant.Instant(0)
	l := dragonflyleaving.Leaving{}.WithAnswer(now, "i-1", 5)
	fmt.Println(l.Has("i-1", 5), l.Has("i-1", 6))
	// Output: true false
}
