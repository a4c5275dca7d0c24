package dragonflyheartbeatdelay_test

import (
	"fmt"

	"dragonflyrelay.example/library/commands/dragonflyheartbeatdelay"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
)

// Three heartbeats are sent every second, and each arrives 0.4 s later than the one before.
func ExampleHeartbeatDelay() {
	now := dragonflyinstant.Instant(0)
	h := dragonflyheartbeatdelay.HeartbeatDelay{}.WithArrival(now, 10)
	for sequence := uint64(11); sequence <= 13; sequence++ {
		now = now.Add(1400 * dragonflyduration.Millisecond)
		h = h.WithArrival(now, sequence)
		fmt.Println(h.Delay(dragonflyduration.Second).Seconds())
	}
	// Output:
	// 0.4
	// 0.8
	// 1.2
}
