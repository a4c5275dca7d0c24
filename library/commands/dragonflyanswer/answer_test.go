package dragonflyanswer_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyanswer"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyanswerverdict"
	"dragonflyrelay.example/library/values/dragonflyframe"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// step applies f and returns the next state and the verdict, which is zero if there is none.
func step(a dragonflyanswer.Answer, f dragonflyframe.Frame) (dragonflyanswer.Answer, dragonflyanswerverdict.Verdict) {
	next, vs := a.Step(1, f)
	if len(vs) == 0 {
		return next, dragonflyanswerverdict.Verdict{}
	}
	return next, vs[0]
}

// assertDropped asserts that f, which isn't part of the answer, leaves it unchanged.
func assertDropped(a dragonflyanswer.Answer, f dragonflyframe.Frame) {
	next, v := step(a, f)
	So(v.Kind, ShouldEqual, dragonflyanswerverdict.Drop)
	So(next, ShouldResemble, a)
}

func token(attempt, index int) dragonflyframe.Frame {
	return dragonflyframe.Frame{Kind: dragonflyframe.Token, Attempt: attempt, Index: index, Text: fmt.Sprint(index)}
}

func TestAnswer(t *testing.T) {
	a := dragonflyanswer.Answer{}.WithIdempotent(true)

	Convey("Frames of another attempt and repeated tokens are dropped", t, func() {
		b, _ := step(a, token(1, 0))
		assertDropped(b, token(1, 0))
		assertDropped(b, token(2, 1))
		c, v := step(b, dragonflyframe.Frame{Kind: dragonflyframe.Failed, Attempt: 1, MayHaveRun: true})
		So(v.Kind, ShouldEqual, dragonflyanswerverdict.Resume)
		assertDropped(c, token(1, 1))
		So(c.Delivered(), ShouldResemble, []string{"0"})
	})
	Convey("A call that isn't idempotent fails if its attempt fails after the start", t, func() {
		b, _ := step(dragonflyanswer.Answer{}, dragonflyframe.Frame{Kind: dragonflyframe.Started, Attempt: 1})
		_, v := step(b, dragonflyframe.Frame{Kind: dragonflyframe.Failed, Attempt: 1})
		So(v, ShouldResemble, dragonflyanswerverdict.Verdict{Kind: dragonflyanswerverdict.Fail, MayHaveRun: true})
	})
	Convey("A refused call that isn't idempotent is retried, because it has not run", t, func() {
		_, v := step(dragonflyanswer.Answer{}, dragonflyframe.Frame{Kind: dragonflyframe.Refused, Attempt: 1, Reason: "overloaded"})
		So(v.Kind, ShouldEqual, dragonflyanswerverdict.Retry)
	})
	Convey("A call that isn't idempotent is not retried after a refusal that follows the start", t, func() {
		b, _ := step(dragonflyanswer.Answer{}, dragonflyframe.Frame{Kind: dragonflyframe.Started, Attempt: 1})
		_, v := step(b, dragonflyframe.Frame{Kind: dragonflyframe.Refused, Attempt: 1, Reason: "not-ready"})
		So(v, ShouldResemble, dragonflyanswerverdict.Verdict{Kind: dragonflyanswerverdict.Fail, Reason: "not-ready", MayHaveRun: true})
	})
	Convey("An answer that ends before its last token is resumed", t, func() {
		_, v := step(a, dragonflyframe.Frame{Kind: dragonflyframe.Done, Attempt: 1, Index: 3})
		So(v.Kind, ShouldEqual, dragonflyanswerverdict.Resume)
		So(v.Reason, ShouldEqual, dragonflyanswer.ReasonGap)
	})
	Convey("Frames in random order deliver a prefix of the answer, each token once", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			a := dragonflyanswer.Answer{}.WithIdempotent(true)
			var got []string
			for i := range rapid.IntRange(1, 60).Draw(t, "pieces") {
				f := token(rapid.IntRange(1, 3).Draw(t, "attempt"), rapid.IntRange(0, 5).Draw(t, "index"))
				if rapid.IntRange(0, 9).Draw(t, "fail") == 0 {
					f.Kind = dragonflyframe.Failed
				}
				next, vs := a.Step(dragonflyinstant.Instant(i), f)
				for _, v := range vs {
					if v.Kind == dragonflyanswerverdict.Deliver {
						got = append(got, v.Text)
					}
				}
				a = next
			}
			for i, s := range got {
				if s != fmt.Sprint(i) {
					t.Fatalf("token %d is %q", i, s)
				}
			}
		})
	})
}

func ExampleAnswer_Step() {
	a := dragonflyanswer.Answer{}.WithIdempotent(true)
	for _, f := range []dragonflyframe.Frame{
		{Kind: dragonflyframe.Token, Attempt: 1, Index: 0, Text: "lino"},
		{Kind: dragonflyframe.Failed, Attempt: 1, Reason: "no-lease", MayHaveRun: true},
		{Kind: dragonflyframe.Token, Attempt: 1, Index: 1, Text: "late"},
		{Kind: dragonflyframe.Token, Attempt: 2, Index: 1, Text: "azul"},
		{Kind: dragonflyframe.Done, Attempt: 2, Index: 2},
	} {
		a, _ = a.Step(1, f)
	}
	fmt.Println(a.Delivered(), a.Ended())
	// Output: [lino azul] true
}
