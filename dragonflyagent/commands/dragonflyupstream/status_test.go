package dragonflyupstream_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"

	"dragonflyrelay.example/dragonflyagent/commands/dragonflyupstream"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflywork"
	. "github.com/smartystreets/goconvey/convey"
)

// innerAnswer is a whole answer that begins a body. It is a sound answer to each request.
const innerAnswer = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 39\r\n\r\ndata: {\"done\":true,\"count\":1,\"x\":123}\n\n"

// assertNoAnswer checks that no kind of request takes text for an answer.
func assertNoAnswer(text string) {
	address := newRawUpstream(func(c net.Conn) { _, _ = io.WriteString(c, text) })
	for name, send := range requests(address) {
		So(fmt.Sprint(name, " ", send() != nil), ShouldEqual, name+" true")
	}
}

// TestInvalidStatuses guards against bytes that are no answer and that an agent passes on,
// or takes for the success of an order: the parser takes what follows a status without a
// body as the next answer.
func TestInvalidStatuses(t *testing.T) {
	withLength := func(status string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(innerAnswer), innerAnswer)
	}
	inChunks := func(status string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", status, len(innerAnswer), innerAnswer)
	}
	for _, status := range []string{"000 OK", "001 OK", "099 OK", "101 Switching Protocols", "600 OK", "999 OK"} {
		Convey("A status that is none, "+status, t, func() { assertNoAnswer("HTTP/1.1 " + status + "\r\nContent-Length: 4\r\n\r\nbody") })
		Convey("A status that is none before a body that looks like an answer, "+status, t, func() { assertNoAnswer(withLength(status)) })
		Convey("A status that is none before such a body in chunks, "+status, t, func() { assertNoAnswer(inChunks(status)) })
		Convey("A status that is none without a body before an answer, "+status, t, func() { assertNoAnswer("HTTP/1.1 " + status + "\r\n\r\n" + innerAnswer) })
	}
	for _, status := range []string{"100 Continue", "103 Early Hints"} {
		Convey("An interim answer that announces a body, "+status, t, func() { assertNoAnswer(withLength(status)) })
		Convey("An interim answer that announces chunks, "+status, t, func() { assertNoAnswer(inChunks(status)) })
		Convey("An interim answer that announces chunks and sends none, "+status, t, func() {
			assertNoAnswer("HTTP/1.1 " + status + "\r\nTransfer-Encoding: chunked\r\n\r\n" + innerAnswer)
		})
	}
	Convey("Statuses that a service may choose are passed on", t, func() {
		work := dragonflywork.Work{Request: "r", Method: "POST", Path: "/x"}
		for _, status := range []int{200, 204, 299, 404, 599} {
			address := newRawUpstream(func(c net.Conn) {
				_, _ = io.WriteString(c, fmt.Sprintf("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n", status))
			})
			r, err := (&dragonflyupstream.Client{}).Call(context.Background(), address, work, dragonflyduration.Second)
			So(err, ShouldBeNil)
			So(r.Status, ShouldEqual, status)
		}
	})
}
