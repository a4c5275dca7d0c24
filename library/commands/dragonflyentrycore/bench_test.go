package dragonflyentrycore_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/values/dragonflyentryevent"
	"dragonflyrelay.example/library/values/dragonflypiece"
	"dragonflyrelay.example/library/values/dragonflyroute"
)

// targetDriver has the 450 groups of the target size and 45 streams, which is
// 1,800 tokens/s at 40 tokens/s each.
func targetDriver() *driver {
	var routes []dragonflyroute.Route
	for i := range 450 {
		routes = append(routes, group(i))
	}
	d := newDriver(routes...)
	for i := range 45 {
		d.begin(fmt.Sprint("r", i), nil)
	}
	d.acts, d.sends = nil, nil
	return d
}

func BenchmarkToken(b *testing.B) {
	d := targetDriver()
	for i := 0; b.Loop(); i++ {
		next, _ := d.core.Step(d.now, dragonflyentryevent.Event{
			Kind: dragonflyentryevent.Piece, Request: fmt.Sprint("r", i%45),
			Piece: dragonflypiece.Piece{Kind: dragonflypiece.Token, Attempt: 1, Index: i / 45, Text: "tela"},
		})
		d.core = next
	}
}

func BenchmarkTick(b *testing.B) {
	d := targetDriver()
	for b.Loop() {
		d.core.Step(d.now, dragonflyentryevent.Event{Kind: dragonflyentryevent.Tick})
	}
}

func BenchmarkBegin(b *testing.B) {
	d := targetDriver()
	ev := dragonflyentryevent.Event{Kind: dragonflyentryevent.Begin, Request: "new"}
	ev.Work.Model = "sarta"
	for b.Loop() {
		d.core.Step(d.now, ev)
	}
}
