package dragonflyinactivity_test

import (
	"testing"

	"dragonflyrelay.example/library/queries/dragonflyinactivity"
	. "github.com/smartystreets/goconvey/convey"
)

// assertLongest checks which connection is chosen, 0 for none.
func assertLongest(id uint64, connections ...dragonflyinactivity.Connection) {
	c, ok := dragonflyinactivity.Longest(connections)
	So(ok, ShouldEqual, id != 0)
	So(c.ID, ShouldEqual, id)
}

// TestLongest guards against a connection that is closed while its request runs.
func TestLongest(t *testing.T) {
	stalled := dragonflyinactivity.Connection{ID: 1, ActiveAt: 10}
	busy := dragonflyinactivity.Connection{ID: 2, ActiveAt: 5, Busy: true}
	fresh := dragonflyinactivity.Connection{ID: 3, ActiveAt: 20}
	Convey("The connection that has been inactive for longest is chosen", t, func() {
		assertLongest(1, fresh, stalled)
		assertLongest(1, stalled, fresh)
	})
	Convey("A busy connection is never chosen", t, func() {
		assertLongest(1, busy, stalled)
		assertLongest(0, busy)
		assertLongest(0)
	})
}
