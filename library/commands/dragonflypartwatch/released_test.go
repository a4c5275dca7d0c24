package dragonflypartwatch_test

import (
	"testing"

	"dragonflyrelay.example/library/common/dragonflyfingerprint"
	"dragonflyrelay.example/library/values/dragonflypartevent"
	"dragonflyrelay.example/library/values/dragonflyquarantinedpart"
	. "github.com/smartystreets/goconvey/convey"
)

// TestReleasedRequests guards against sound requests that an entry refuses again, by the
// crashes of before, after the leader has released them.
func TestReleasedRequests(t *testing.T) {
	sound := dragonflyfingerprint.Of("POST", "h", "/", "t1", []byte("sound"))
	other := dragonflyfingerprint.Of("POST", "h", "/", "t1", []byte("other"))
	crashed := func() *entry {
		e := newEntry()
		for _, id := range []string{"s-1", "s-2", "s-3"} {
			e.crash(id, sound)
		}
		assertRefused(e.admit(sound), sound)
		return e
	}
	Convey("A request that the leader has released is refused after new crashes only", t, func() {
		e := crashed()
		e.quarantine(dragonflyquarantinedpart.Part{ID: sound, Since: 3 * second, ProbeIn: 15 * second, Interval: 15 * second})
		e.quarantine()
		assertAdmitted(e.admit(sound), false)
		e.crash("s-4", other)
		assertAdmitted(e.admit(sound), false)
		for _, id := range []string{"s-5", "s-6", "s-7"} {
			e.crash(id, sound)
		}
		assertRefused(e.admit(sound), sound)
	})
	Convey("A request that the leader has not listed in time is refused after new crashes only", t, func() {
		e := crashed()
		e.quarantine()
		e.now = e.now.Add(3 * second)
		e.step(dragonflypartevent.Event{Kind: dragonflypartevent.Confirmed})
		assertAdmitted(e.admit(sound), false)
		e.crash("s-4", other)
		assertAdmitted(e.admit(sound), false)
	})
}
