package dragonflycallcheck_test

import (
	"testing"

	"dragonflyrelay.example/dragonflybench/queries/dragonflycallcheck"
	"dragonflyrelay.example/dragonflybench/values/dragonflycalloutcome"
	. "github.com/smartystreets/goconvey/convey"
)

// assertBreach guards against a checker that overlooks a breach.
func assertBreach(o dragonflycalloutcome.Outcome, runs int, breach string) {
	o.Body = "b"
	got := dragonflycallcheck.Breaches([]dragonflycalloutcome.Outcome{o}, map[string]int{"b": runs})
	if breach == "" {
		So(got, ShouldBeEmpty)
		return
	}
	So(got, ShouldHaveLength, 1)
	So(got[0], ShouldContainSubstring, breach)
}

func TestBreaches(t *testing.T) {
	answered := dragonflycalloutcome.Outcome{Kind: dragonflycalloutcome.Answered}
	notRun := dragonflycalloutcome.Outcome{Kind: dragonflycalloutcome.NotRun}
	unknown := dragonflycalloutcome.Outcome{Kind: dragonflycalloutcome.Unknown}

	Convey("What callers may be told is no breach", t, func() {
		assertBreach(answered, 1, "")
		assertBreach(notRun, 0, "")
		assertBreach(unknown, 0, "")
		assertBreach(unknown, 1, "")
	})
	Convey("Each kind of breach is found", t, func() {
		assertBreach(answered, 2, "more than once")
		assertBreach(unknown, 2, "more than once")
		assertBreach(answered, 0, "never ran")
		assertBreach(notRun, 1, "refused as not run")
		answered.Echoed = "other"
		assertBreach(answered, 1, "another call")
	})
}
