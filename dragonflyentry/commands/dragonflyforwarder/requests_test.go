package dragonflyforwarder_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyfingerprint"
	"dragonflyrelay.example/library/values/dragonflyfollowrequest"
	"dragonflyrelay.example/library/values/dragonflyfollowresponse"
	"dragonflyrelay.example/library/values/dragonflyquarantinedpart"
	. "github.com/smartystreets/goconvey/convey"
)

// TestCrashingRequests guards against entries that keep sending a request which crashes
// servers, and against broken connections that are taken for crashes.
func TestCrashingRequests(t *testing.T) {
	deadly := dragonflyquarantinedpart.Part{
		ID:    dragonflyfingerprint.Of("POST", "h", "/read/dead", "t1", []byte("prompt")),
		Since: dragonflyduration.Second, ProbeIn: 15 * dragonflyduration.Second,
	}
	Convey("A quarantined request is refused without sending it, one to another path is served", t, func() {
		u, c := newUpstream(plainResponse("done")), &quarantineControl{}
		e := newEntryWithControl(0, nil, c.amend, u.endpoint("a", "app"))
		c.set(deadly)
		assertResponse(e, "/read/dead", 503, "")
		So(u.requests(), ShouldBeEmpty)
		assertResponse(e, "/read/sound", 200, "done")
	})
	Convey("An instance without the lead that holds the request is obeyed", t, func() {
		u, c := newUpstream(plainResponse("done")), &quarantineControl{}
		e := newEntryWithControl(0, nil, func(q dragonflyfollowrequest.Request, n *dragonflyfollowresponse.Response) {
			c.amend(q, n)
			if q.Revision > 0 {
				n.Leads, n.HasQuarantine, n.Quarantine = false, true, []dragonflyquarantinedpart.Part{deadly}
			}
		}, u.endpoint("a", "app"))
		for range 100 {
			if status, _, _ := e.call("POST", "/read/dead"); status == http.StatusServiceUnavailable {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
		So("the request is sent", ShouldBeEmpty)
	})
	Convey("A lost endpoint is reported as crashed only if it refuses connections", t, func() {
		for _, crashes := range []bool{true, false} {
			c := &quarantineControl{}
			var u *upstream
			u = newUpstream(func(conn net.Conn, _ *http.Request) {
				if crashes {
					_ = u.l.Close()
				}
				_ = conn.Close()
			})
			e := newEntryWithControl(0, nil, c.amend, u.endpoint("a", "app"))
			assertResponse(e, "/once/dead", 502, "")
			So(c.seen(func(q dragonflyfollowrequest.Request) bool {
				return len(q.Losses) == 1 && q.Losses[0].Refused == crashes
			}), ShouldBeTrue)
			So(c.seen(func(q dragonflyfollowrequest.Request) bool {
				return len(q.Losses) == 1 && q.Losses[0].Refused != crashes
			}), ShouldBeFalse)
		}
	})
}
