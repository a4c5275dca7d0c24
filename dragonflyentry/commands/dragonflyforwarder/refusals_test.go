package dragonflyforwarder_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

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

// TestStalledRefusals guards against a refused request that waits for a refusal's body
// until its time is over.
func TestStalledRefusals(t *testing.T) {
	for name, frame := range map[string]string{"has no length": "", "does not arrive": "Content-Length: 100\r\n"} {
		Convey("The body of the refusal "+name, t, func() {
			u := newUpstream(func(c net.Conn, r *http.Request) {
				_, _ = io.WriteString(c, "HTTP/1.1 503 Full\r\nX-Attempt-Id: "+r.Header.Get("X-Attempt-Id")+"\r\nX-Not-Run: 1\r\n"+frame+"\r\nfull")
				_, _ = c.Read(make([]byte, 1))
			})
			e := newEntry(u.endpoint("a", "app"))
			began := time.Now()
			assertResponse(e, "/once/1", 503, "")
			So(time.Since(began), ShouldBeLessThan, 500*time.Millisecond)
		})
	}
}
