package dragonflyphases_test

import (
	"testing"

	"dragonflyrelay.example/dragonflybench/queries/dragonflyphases"
	"dragonflyrelay.example/dragonflybench/values/dragonflyoutcome"
	"dragonflyrelay.example/dragonflybench/values/dragonflyphase"
	"dragonflyrelay.example/dragonflybench/values/dragonflyrequest"
	"dragonflyrelay.example/library/common/dragonflyduration"
	. "github.com/smartystreets/goconvey/convey"
)

func request(class string, at dragonflyduration.Duration) dragonflyrequest.Request {
	return dragonflyrequest.Request{Class: class, At: at, FirstToken: dragonflyduration.Second}
}

// TestSum checks that every request counts once, in the phase in which it arrived.
func TestSum(t *testing.T) {
	Convey("Requests are counted by time of arrival, class and outcome", t, func() {
		boundaries := []dragonflyphases.Boundary{{Name: "before"}, {Name: "out", From: 10 * dragonflyduration.Second}}
		got := dragonflyphases.Sum(boundaries, []string{"a", "b"}, []dragonflyoutcome.Outcome{
			{Request: request("a", 1), Kind: dragonflyoutcome.Completed, FirstToken: dragonflyduration.Millisecond},
			{Request: request("a", 2), Kind: dragonflyoutcome.Completed, FirstToken: 2 * dragonflyduration.Second},
			{Request: request("a", 10*dragonflyduration.Second), Kind: dragonflyoutcome.Refused},
			{Request: request("b", 11*dragonflyduration.Second), Kind: dragonflyoutcome.Short},
		})
		So(got, ShouldResemble, []dragonflyphase.Phase{
			{Name: "before", Class: "a", Requests: 2, Completed: 2, Met: 1},
			{Name: "before", Class: "b"},
			{Name: "out", Class: "a", Requests: 1, Refused: 1},
			{Name: "out", Class: "b", Requests: 1, Broken: 1},
		})
		So(got[0].MetShare(), ShouldEqual, 0.5)
		So(got[1].MetShare(), ShouldEqual, 1)
	})
}
