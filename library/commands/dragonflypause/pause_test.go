package dragonflypause_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/commands/dragonflypause"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	. "github.com/smartystreets/goconvey/convey"
)

const (
	second  = dragonflyduration.Second
	start   = dragonflyinstant.Instant(second)
	longest = 5 * second
	rate    = 10 // requests a second after a pause
	step    = second / 50
)

// play lets a request wait at any time for the given length from now on, and returns when
// requests were sent.
func play(p dragonflypause.Pauses, now dragonflyinstant.Instant, length dragonflyduration.Duration) (sent []dragonflyinstant.Instant) {
	for end := now.Add(length); now < end; {
		if p.Wait(now, "a", 1, rate) == 0 {
			sent = append(sent, now)
			p = p.WithRequest(now, "a", 1, rate)
			if len(sent) > 10_000 {
				break
			}
			continue
		}
		now = now.Add(step)
	}
	return sent
}

// assertSentBetween checks the number of requests sent from the one instant to the other.
func assertSentBetween(sent []dragonflyinstant.Instant, from, to dragonflyinstant.Instant, least, most int) {
	n := 0
	for _, at := range sent {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	So(n, ShouldBeGreaterThanOrEqualTo, least)
	So(n, ShouldBeLessThanOrEqualTo, most)
}

// TestPause guards against requests to an upstream that has asked for a pause, and against
// all that waited arriving together at its end.
func TestPause(t *testing.T) {
	Convey("Nothing is sent until the end, and then at the rate of its return", t, func() {
		p := dragonflypause.Pauses{}.WithAnswer(start, "a", 1, 2*second, longest)
		So(p.Held(start.Add(2*second-1), "a", 1), ShouldBeTrue)
		So(p.Wait(start.Add(second), "a", 1, rate), ShouldEqual, second)
		end := start.Add(2 * second)
		sent := play(p, start, 2900*dragonflyduration.Millisecond)
		assertSentBetween(sent, start, end, 0, 0)
		assertSentBetween(sent, end, end.Add(second/10), 1, 3)
		assertSentBetween(sent, end, end.Add(9*second/10), 8, 12)
		So(p.Wait(end.Add(second), "a", 1, rate), ShouldEqual, 0)
	})
	Convey("A return at any rate ends", t, func() {
		p := dragonflypause.Pauses{}.WithAnswer(start, "a", 1, second, longest)
		p = p.WithRequest(start.Add(second), "a", 1, 0)
		So(p.Wait(start.Add(second), "a", 1, 0), ShouldEqual, second)
		So(p.Wait(start.Add(2*second), "a", 1, 0), ShouldEqual, 0)
	})
	Convey("A pause that is renewed goes on, and a shorter one does not end it", t, func() {
		p := dragonflypause.Pauses{}.WithAnswer(start, "a", 1, 2*second, longest)
		p = p.WithAnswer(start.Add(second), "a", 1, second/2, longest)
		So(p.Wait(start.Add(second), "a", 1, rate), ShouldEqual, second)
		p = p.WithAnswer(start.Add(second), "a", 1, 4*second, longest)
		So(p.Wait(start.Add(second), "a", 1, rate), ShouldEqual, 4*second)
		assertSentBetween(play(p, start, 6*second), start, start.Add(5*second), 0, 0)
	})
	Convey("A pause that is longer than any request gets two requests at most, and ends", t, func() {
		p := dragonflypause.Pauses{}.WithAnswer(start, "a", 1, 30*second, longest)
		So(p.Unreadable("a", 1), ShouldBeTrue)
		sent := play(p, start, 30*second)
		assertSentBetween(sent, start, start.Add(longest), 0, 0)
		assertSentBetween(sent, start, start.Add(30*second), 2, 2)
		forever := dragonflypause.Pauses{}.WithAnswer(start, "a", 1, dragonflyduration.Duration(1<<62), longest)
		So(forever.Wait(start.Add(2*dragonflyduration.Minute), "a", 1, rate), ShouldEqual, 0)
	})
	Convey("A later start, and other upstreams, are not held", t, func() {
		p := dragonflypause.Pauses{}.WithAnswer(start, "a", 1, 2*second, longest)
		So(p.Wait(start, "a", 2, rate), ShouldEqual, 0)
		So(p.Wait(start, "b", 1, rate), ShouldEqual, 0)
		p = p.WithAnswer(start, "a", 2, second, longest).WithAnswer(start, "a", 1, 4*second, longest)
		So(p.Wait(start, "a", 2, rate), ShouldEqual, second)
	})
	Convey("What cannot be read holds nothing back and is known once", t, func() {
		p := dragonflypause.Pauses{}.WithUnreadable("a", 1).WithAnswer(start, "a", 1, 0, longest)
		So(p.Wait(start, "a", 1, rate), ShouldEqual, 0)
		So(p.Unreadable("a", 1), ShouldBeTrue)
		So(p.Unreadable("a", 2), ShouldBeFalse)
	})
	Convey("A pause outlasts a missing row, and ended ones are dropped", t, func() {
		absent := func(string) (int64, bool) { return 0, false }
		p := dragonflypause.Pauses{}.WithAnswer(start, "a", 1, 2*second, longest).WithTable(start.Add(second), absent)
		So(p.Held(start.Add(second), "a", 1), ShouldBeTrue)
		p = p.WithUnreadable("a", 1).WithTable(start.Add(4*second), absent)
		So(p.Unreadable("a", 1), ShouldBeFalse)
	})
	Convey("Upstreams without end stay within bounds", t, func() {
		p := dragonflypause.Pauses{}
		for i := range 5000 {
			p = p.WithAnswer(start, fmt.Sprint(i), 1, second, longest)
		}
		So(p.Held(start, "4095", 1), ShouldBeTrue)
		So(p.Held(start, "4096", 1), ShouldBeFalse)
	})
}
