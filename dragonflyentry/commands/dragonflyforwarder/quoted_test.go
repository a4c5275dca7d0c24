package dragonflyforwarder_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// foreign is a part of an answer to another request.
const foreign = "account-4711"

// assertNotQuoted checks that the caller of a request gets 502, and nothing of what the upstream
// has sent in place of the answer. Send writes it to a connection that was used before.
func assertNotQuoted(path string, send func(c net.Conn, r *http.Request)) {
	u := newUpstream(plainResponse("first"), func(c net.Conn, r *http.Request) {
		send(c, r)
		_ = c.Close()
	})
	e := newEntry(u.endpoint("a", "app"))
	status, body := e.get("/once/1")
	So(status, ShouldEqual, http.StatusOK)
	So(body, ShouldEqual, "first")
	status, body = e.get(path)
	So(status, ShouldEqual, http.StatusBadGateway)
	So(body, ShouldNotContainSubstring, foreign)
	So(body, ShouldContainSubstring, "error")
}

// TestQuotedAnswers guards against a refusal that quotes an answer to another request to its
// caller, who may belong to another workspace.
func TestQuotedAnswers(t *testing.T) {
	text := func(format string) func(c net.Conn, r *http.Request) {
		return func(c net.Conn, r *http.Request) {
			_, _ = io.WriteString(c, strings.ReplaceAll(strings.ReplaceAll(format, "HEAD", strings.TrimSuffix(responseHead(r, "200 OK", ""), "\r\n")), "FOREIGN", foreign))
		}
	}
	for name, send := range map[string]func(c net.Conn, r *http.Request){
		"the body of another answer":  text("{\"account\":\"FOREIGN\"}\r\n\r\n"),
		"a body and the answer":       text("{\"account\":\"FOREIGN\"}\r\nHEAD\r\nContent-Length: 2\r\n\r\nok"),
		"a status that is none":       text("HTTP/1.1 FOREIGN\r\n\r\n"),
		"a version that is none":      text("HTTP/FOREIGN 200 OK\r\n\r\n"),
		"a header line that is none":  text("HEAD\r\n FOREIGN\r\nFOREIGN\r\n\r\n"),
		"a length that is none":       text("HEAD\r\nContent-Length: FOREIGN\r\n\r\n"),
		"an encoding that is none":    text("HEAD\r\nTransfer-Encoding: FOREIGN\r\n\r\n"),
		"a chunk that is none":        text("HEAD\r\nTransfer-Encoding: chunked\r\n\r\nFOREIGN\r\n"),
		"a trailer that is none":      text("HEAD\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n FOREIGN\r\n\r\n"),
		"a body that breaks off":      text("HEAD\r\nContent-Length: 100\r\n\r\nFOREIGN"),
		"a head that is too large":    text("HEAD\r\nX-More: " + strings.Repeat("FOREIGN", 10<<10)),
		"a status 000 with some text": text("HTTP/1.1 000 FOREIGN\r\nX-Attempt-Id: FOREIGN\r\nContent-Length: 7\r\n\r\nFOREIGN"),
	} {
		Convey(fmt.Sprint("In place of the answer to a call: ", name), t, func() { assertNotQuoted("/once/2", send) })
	}
}
