package dragonflycontrolserver_test

import (
	"sync/atomic"
	"testing"
	"time"

	"dragonflyrelay.example/library/common/dragonflycompression"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflydocument"
	"dragonflyrelay.example/library/values/dragonflyresult"
	"dragonflyrelay.example/platform/dragonflydocumentjson"
	. "github.com/smartystreets/goconvey/convey"
)

// storeDocument returns the change that stores the routing document of the given version.
func storeDocument(version int) dragonflychange.Change {
	packed, err := dragonflycompression.Compress([]byte(routingDocument(version)))
	So(err, ShouldBeNil)
	return dragonflychange.Change{
		ID: routingDocument(version)[:20], Kind: dragonflychange.StoreDocument, Operator: "op", Version: uint64(version), Content: packed,
	}
}

// TestPanickingDuty guards against changes that stay unanswered to the end of the day,
// while the process runs, because the duty that applies them has panicked.
func TestPanickingDuty(t *testing.T) {
	Convey("An instance whose duty has panicked ends with an error, and accepts changes once it is started again", t, func() {
		c := newControls(t, 1)[0]
		var panics atomic.Bool
		c.server.Decode = func(content []byte) (dragonflydocument.Document, error) {
			if panics.CompareAndSwap(true, false) {
				panic("decode")
			}
			return dragonflydocumentjson.Unmarshal(content)
		}
		c.start(t)
		assertWithin(2*time.Second, leaderReady(c))
		panics.Store(true)
		_, _ = c.propose(storeDocument(5)) // The answer may be lost with the process.
		var err error
		select {
		case err = <-c.ended:
		case <-time.After(5 * time.Second):
		}
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "duty apply panicked: decode")

		c.start(t)
		assertWithin(2*time.Second, leaderReady(c))
		r, err := c.propose(storeDocument(6))
		So(err, ShouldBeNil)
		So(r.Outcome, ShouldEqual, dragonflyresult.Accepted)
		c.stop()
		So(<-c.ended, ShouldBeNil)
	})
}
