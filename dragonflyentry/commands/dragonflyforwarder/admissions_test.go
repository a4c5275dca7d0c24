package dragonflyforwarder_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"dragonflyrelay.example/library/values/dragonflyfollowrequest"
	"dragonflyrelay.example/library/values/dragonflyfollowresponse"
	"dragonflyrelay.example/library/values/dragonflymodeladmission"
	. "github.com/smartystreets/goconvey/convey"
)

// refusedOf sends n requests and returns how many are refused. Their responses ask callers to
// come back later than after other refusals for an overload.
func refusedOf(e *entry, n int) (refused int) {
	for i := range n {
		status, retryAfter, _ := e.timedCall(fmt.Sprint("/once/", i), "k1")
		if status == 503 {
			So(retryAfter, ShouldEqual, "0.500")
			refused++
		}
	}
	return refused
}

// TestAdmissions guards against entries that do not apply the decisions of the leader, or
// that apply them when they are over.
func TestAdmissions(t *testing.T) {
	start := func(decided *atomic.Bool, leads *atomic.Bool) *entry {
		u := newUpstream(plainResponse("ok"))
		leads.Store(true)
		return newEntryWithControl(0, nil, func(_ dragonflyfollowrequest.Request, n *dragonflyfollowresponse.Response) {
			n.Leads = leads.Load()
			if decided.Load() {
				n.Admissions = []dragonflymodeladmission.Admission{{Service: "app", Rank: 0, Fraction: 0.1}}
			}
		}, u.endpoint("a", "app"))
	}
	Convey("Requests are refused while a response of the leader says so", t, func() {
		var decided, leads atomic.Bool
		e := start(&decided, &leads)
		So(refusedOf(e, 20), ShouldEqual, 0)
		decided.Store(true)
		time.Sleep(1200 * time.Millisecond)
		So(refusedOf(e, 40), ShouldBeBetween, 5, 30)
		decided.Store(false)
		time.Sleep(1200 * time.Millisecond)
		So(refusedOf(e, 20), ShouldEqual, 0)
	})
	Convey("Two seconds after the last response of a leader, the entry decides alone", t, func() {
		var decided, leads atomic.Bool
		decided.Store(true)
		e := start(&decided, &leads)
		time.Sleep(600 * time.Millisecond)
		So(refusedOf(e, 40), ShouldBeBetween, 5, 30)
		leads.Store(false)
		// The keys of the entry hold for as long as its decisions: routes that need none are
		// not part of the document of these tests.
		So(refusedLater(e), ShouldBeFalse)
	})
}

// refusedLater reports whether a request is refused for an overload after 2.7 s.
func refusedLater(e *entry) bool {
	time.Sleep(2700 * time.Millisecond)
	for i := range 20 {
		if _, retryAfter, _ := e.timedCall(fmt.Sprint("/once/later", i), "k1"); retryAfter == "0.500" {
			return true
		}
	}
	return false
}
