package dragonflyentryserver_test

import (
	"context"
	"fmt"
	"testing"

	"dragonflyrelay.example/library/values/dragonflyframe"
	"dragonflyrelay.example/library/values/dragonflywork"
	. "github.com/smartystreets/goconvey/convey"
)

// answerWithStatus sends an answer with the given status and a body that looks like an
// answer itself.
func answerWithStatus(status int) func(context.Context, *fakeAgent, dragonflywork.Work, func(dragonflyframe.Frame) error) {
	return func(_ context.Context, _ *fakeAgent, _ dragonflywork.Work, send func(dragonflyframe.Frame) error) {
		_ = send(dragonflyframe.Frame{Kind: dragonflyframe.Started})
		_ = send(dragonflyframe.Frame{Kind: dragonflyframe.Response, Status: status, Body: []byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ninner")})
	}
}

// TestInvalidStatuses guards against a status of an agent that is none and reaches a caller,
// or is sent as 200: the HTTP library sends that for 0.
func TestInvalidStatuses(t *testing.T) {
	for _, status := range []int{0, 1, 99, 100, 101, 103, 600, 999, -1} {
		Convey(fmt.Sprint("A status that is none, ", status), t, func() {
			e := startEntry(t, nil, newControl(t, serviceRoute(1, newAgent(t, answerWithStatus(status)))))
			assertError(post(e.url+"/services/orders/x", ""), 502, "unknown", "connection-lost")
		})
	}
}
