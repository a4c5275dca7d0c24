package dragonflyfingerprint_test

import (
	"testing"

	"dragonflyrelay.example/library/common/dragonflyfingerprint"
	. "github.com/smartystreets/goconvey/convey"
)

// TestFingerprint guards against requests of different callers or targets that share a
// fingerprint, and against parts of prompts that are taken for requests.
func TestFingerprint(t *testing.T) {
	same := dragonflyfingerprint.Of("POST", "h", "/a?b", "t1", []byte("body"))
	Convey("Requests that are alike have one fingerprint", t, func() {
		So(dragonflyfingerprint.Of("POST", "h", "/a?b", "t1", []byte("body")), ShouldEqual, same)
		So(dragonflyfingerprint.Is(same), ShouldBeTrue)
		So(dragonflyfingerprint.Is("a1"), ShouldBeFalse)
	})
	Convey("Each field tells requests apart", t, func() {
		for _, other := range []string{
			dragonflyfingerprint.Of("PUT", "h", "/a?b", "t1", []byte("body")),
			dragonflyfingerprint.Of("POST", "g", "/a?b", "t1", []byte("body")),
			dragonflyfingerprint.Of("POST", "h", "/a?c", "t1", []byte("body")),
			dragonflyfingerprint.Of("POST", "h", "/a?b", "t2", []byte("body")),
			dragonflyfingerprint.Of("POST", "h", "/a?b", "t1", []byte("Body")),
			dragonflyfingerprint.Of("POST", "h", "/a?bt", "1", []byte("body")),
			dragonflyfingerprint.Of("POST", "h", "/a?b", "", []byte("t1body")),
		} {
			So(other, ShouldNotEqual, same)
		}
	})
}
