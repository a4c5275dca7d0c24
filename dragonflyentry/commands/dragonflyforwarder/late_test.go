package dragonflyforwarder_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dragonflyrelay.example/library/common/dragonflycompression"
	"dragonflyrelay.example/library/values/dragonflyfollowrequest"
	"dragonflyrelay.example/library/values/dragonflyfollowresponse"
	. "github.com/smartystreets/goconvey/convey"
)

// TestSlowBodies guards against a request that runs by a key or a route that was taken away
// while its body arrived.
func TestSlowBodies(t *testing.T) {
	withoutKey, _ := dragonflycompression.Compress([]byte(strings.Replace(document, `"k1"`, `"k2"`, 1)))
	withoutRoute, _ := dragonflycompression.Compress([]byte(strings.Replace(document, "/once/", "/other/", 1)))
	for name, c := range map[string]struct {
		document []byte
		status   int
	}{
		"key": {withoutKey, 401}, "route": {withoutRoute, 404}, "nothing": {packedDocument, 200},
	} {
		Convey("A request whose body arrives after "+name+" was taken away", t, func() {
			u := newUpstream(plainResponse("done"))
			var changed atomic.Bool
			e := newEntryWithControl(0, nil, func(_ dragonflyfollowrequest.Request, n *dragonflyfollowresponse.Response) {
				if changed.Load() {
					n.Version, n.Content = 2, c.document
				}
			}, u.endpoint("a", "app"))
			conn, err := net.Dial("tcp", e.addr)
			So(err, ShouldBeNil)
			Reset(func() { _ = conn.Close() })
			_, err = io.WriteString(conn, "POST /once/1 HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\nX-Attempt-Id: a1\r\nX-Deadline-Ms: 5000\r\nContent-Length: 6\r\n\r\npro")
			So(err, ShouldBeNil)
			time.Sleep(100 * time.Millisecond)
			changed.Store(true)
			// The long poll in progress takes half a second at most.
			for from := time.Now(); time.Since(from) < 600*time.Millisecond; time.Sleep(20 * time.Millisecond) {
				if status, _, err := e.call("POST", "/once/2"); err == nil && status != 200 {
					break
				}
			}
			_, err = io.WriteString(conn, "mpt")
			So(err, ShouldBeNil)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			So(err, ShouldBeNil)
			_ = resp.Body.Close()
			So(resp.StatusCode, ShouldEqual, c.status)
		})
	}
}
