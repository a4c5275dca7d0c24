package dragonflyforwarder_test

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// slowLog delays the line of each request, so that its caller has left before the handler
// returns.
type slowLog struct{ slog.Handler }

// Handle implements slog.Handler.
func (l slowLog) Handle(_ context.Context, r slog.Record) error {
	if r.Message == "request" {
		time.Sleep(400 * time.Millisecond)
	}
	return nil
}

// WithAttrs implements slog.Handler.
func (l slowLog) WithAttrs([]slog.Attr) slog.Handler { return l }

// Enabled implements slog.Handler.
func (l slowLog) Enabled(context.Context, slog.Level) bool { return true }

// callOpen sends a request, reads n bytes of the body and returns a function that closes
// the connection.
func (e *entry) callOpen(path string, n int) (leave func()) {
	c, err := net.Dial("tcp", e.addr)
	So(err, ShouldBeNil)
	_, err = io.WriteString(c, "POST "+path+" HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\nX-Attempt-Id: "+path+"\r\nContent-Length: 0\r\n\r\n")
	So(err, ShouldBeNil)
	br := bufio.NewReader(c)
	resp, err := http.ReadResponse(br, nil) //nolint:bodyclose // leave closes the connection.
	So(err, ShouldBeNil)
	So(resp.StatusCode, ShouldEqual, http.StatusOK)
	_, err = io.CopyN(io.Discard, resp.Body, int64(n))
	So(err, ShouldBeNil)
	return func() { _ = c.Close() }
}

// TestCallerLeavesAfterAnswer guards against a connection that is closed for a caller that
// has left, while it serves another request already.
func TestCallerLeavesAfterAnswer(t *testing.T) {
	Convey("A request on a kept connection is served although the caller before it leaves", t, func() {
		before := slog.Default()
		slog.SetDefault(slog.New(slowLog{before.Handler()}))
		Reset(func() { slog.SetDefault(before) })
		body := strings.Repeat("x", 100_000)
		u := newUpstream(plainResponse(body), func(c net.Conn, r *http.Request) {
			time.Sleep(200 * time.Millisecond)
			plainResponse("second")(c, r)
		})
		e := newEntry(u.endpoint("a", "app"))
		leave := e.callOpen("/once/1", len(body))
		time.AfterFunc(100*time.Millisecond, leave)
		assertResponse(e, "/once/2", 200, "second")
	})
}
