package dragonflypatience_test

import (
	"fmt"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/queries/dragonflypatience"
	"dragonflyrelay.example/library/values/dragonflypathroute"
)

const ms = dragonflyduration.Millisecond

func ExampleOf() {
	stream := dragonflypathroute.Route{Kind: dragonflypathroute.Streaming, Objective: 250 * ms, GapTarget: 200 * ms}
	fmt.Println(dragonflypatience.Of(stream, 6000*ms).Milliseconds())
	fmt.Println(dragonflypatience.Of(stream, 1000*ms).Milliseconds())
	stream.GapTarget = 300 * ms
	fmt.Println(dragonflypatience.Of(stream, 6000*ms).Milliseconds())
	fmt.Println(dragonflypatience.Of(dragonflypathroute.Route{Objective: 250 * ms}, 3000*ms).Milliseconds())
	// Output:
	// 2000
	// 1000
	// 2400
	// 3000
}

func ExampleWait() {
	call := dragonflypathroute.Route{Objective: 300 * ms}
	for _, left := range []dragonflyduration.Duration{3000 * ms, 250 * ms} {
		fmt.Println(dragonflypatience.Wait(call, left).Milliseconds(), dragonflypatience.WaitUnrouted(left).Milliseconds())
	}
	// Output:
	// 2700 1500
	// 0 0
}
