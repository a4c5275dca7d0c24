package dragonflycontrolserver_test

import (
	"os"
	"sync/atomic"
	"testing"
	"time"

	"dragonflyrelay.example/library/values/dragonflyresult"
	. "github.com/smartystreets/goconvey/convey"
)

// TestPanickingWrite guards against an instance that runs on without writing anything
// because a write has panicked: the others take it for a sound member.
func TestPanickingWrite(t *testing.T) {
	Convey("A write that panicked is tried again", t, func() {
		controls := newControls(t, 1)
		var panics atomic.Bool
		controls[0].server.Write = func(f *os.File, p []byte) (int, error) {
			if panics.CompareAndSwap(true, false) {
				panic("write")
			}
			return f.Write(p)
		}
		startAll(t, controls)
		panics.Store(true)
		assertWithin(5*time.Second, func() bool {
			r, err := controls[0].propose(setZone("c1", 0, "zona-a", true))
			return err == nil && r.Outcome == dragonflyresult.Accepted
		})
		So(panics.Load(), ShouldBeFalse)
		stopAll(controls)
	})
}
