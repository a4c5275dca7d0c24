package dragonflyhedgerequest_test

import (
	"testing"

	"dragonflyrelay.example/library/values/dragonflyhedgerequest"
	. "github.com/smartystreets/goconvey/convey"
)

// TestEligible guards against a second copy of a request that may run only once, that may
// have crashed an upstream, or whose attempts are used up.
func TestEligible(t *testing.T) {
	sound := dragonflyhedgerequest.Request{Retryable: true, Attempts: 1, MaxAttempts: 2}
	assertEligible := func(want bool, change func(r *dragonflyhedgerequest.Request)) {
		r := sound
		change(&r)
		So(r.Eligible(), ShouldEqual, want)
	}
	Convey("A request that may be repeated", t, func() {
		assertEligible(true, func(*dragonflyhedgerequest.Request) {})
	})
	Convey("One that may run only once", t, func() {
		assertEligible(false, func(r *dragonflyhedgerequest.Request) { r.Retryable = false })
	})
	Convey("One whose attempts are used up", t, func() {
		assertEligible(false, func(r *dragonflyhedgerequest.Request) { r.MaxAttempts = 1 })
		assertEligible(false, func(r *dragonflyhedgerequest.Request) { r.MaxAttempts = 0 })
		assertEligible(false, func(r *dragonflyhedgerequest.Request) { r.Attempts = 2 })
	})
	Convey("One that has lost an attempt, or whose response has begun", t, func() {
		assertEligible(false, func(r *dragonflyhedgerequest.Request) { r.HasLost = true })
		assertEligible(false, func(r *dragonflyhedgerequest.Request) { r.HasBegun = true })
	})
	Convey("A probe of a quarantined part, and a suspect", t, func() {
		assertEligible(false, func(r *dragonflyhedgerequest.Request) { r.IsProbe = true })
		assertEligible(false, func(r *dragonflyhedgerequest.Request) { r.IsSuspect = true })
	})
	Convey("The zero value", t, func() { So(dragonflyhedgerequest.Request{}.Eligible(), ShouldBeFalse) })
}
