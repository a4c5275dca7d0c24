package dragonflypause_test

import (
	"fmt"

	"dragonflyrelay.example/library/commands/dragonflypause"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
)

// An upstream asks for two seconds, and gets a request when they are over.
func ExamplePauses() {
	now := dragonflyinstant.Instant(0)
	p := dragonflypause.Pauses{}.WithAnswer(now, "i-1", 5, 2*dragonflyduration.Second, 8*dragonflyduration.Second)
	for range 3 {
		fmt.Println(p.Wait(now, "i-1", 5, 10).Seconds())
		now = now.Add(dragonflyduration.Second)
	}
	// Output:
	// 2
	// 1
	// 0
}
