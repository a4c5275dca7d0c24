package dragonflyforwarder_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestNoAttemptID guards against the answer to another request that passes for the answer
// to a request without an id.
func TestNoAttemptID(t *testing.T) {
	Convey("A request without an id is refused without being sent", t, func() {
		u := newUpstream(plainResponse("not run"))
		e := newEntry(u.endpoint("a", "app"))
		status, _, err := e.call("POST", "/once/1", "X-Attempt-Id", "")
		So(err, ShouldBeNil)
		So(status, ShouldEqual, 400)
		So(u.requests(), ShouldBeEmpty)
	})
}
