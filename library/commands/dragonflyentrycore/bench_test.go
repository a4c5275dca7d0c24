package dragonflyentrycore_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/values/dragonflyentryevent"
	"dragonflyrelay.example/library/values/dragonflyframe"
	"dragonflyrelay.example/library/values/dragonflyroute"
	"dragonflyrelay.example/library/values/dragonflywork"
)

// BenchmarkStep measures single events of an entry of the target size: 450 groups
// and 45 streams of 40 tokens/s, which is 1,800 tokens/s.
func BenchmarkStep(b *testing.B) {
	var routes []dragonflyroute.Route
	for i := range 450 {
		routes = append(routes, group(i))
	}
	d := newDriver(routes...)
	for i := range 45 {
		d.begin(fmt.Sprint("r", i), nil)
	}
	token := func(i int) dragonflyentryevent.Event {
		return dragonflyentryevent.Event{Kind: dragonflyentryevent.Frame, Request: fmt.Sprint("r", i%45), Frame: dragonflyframe.Frame{
			Kind: dragonflyframe.Token, Attempt: 1, Index: i / 45, Text: "tela",
		}}
	}
	for name, event := range map[string]func(i int) dragonflyentryevent.Event{
		"tick":  func(int) dragonflyentryevent.Event { return dragonflyentryevent.Event{Kind: dragonflyentryevent.Tick} },
		"token": token,
		"begin": func(int) dragonflyentryevent.Event {
			return dragonflyentryevent.Event{Kind: dragonflyentryevent.Begin, Request: "new", Work: dragonflywork.Work{Model: "sarta"}}
		},
	} {
		b.Run(name, func(b *testing.B) {
			c := d.core
			for i := 0; b.Loop(); i++ {
				next, _ := c.Step(d.now, event(i))
				if name == "token" {
					c = next // The other events are all applied to the initial state.
				}
			}
		})
	}
}
