package dragonflyforwarder_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestUnmarkedPromises guards against callers that are promised that a request was not run by
// a status that the upstream sent without the mark for it.
func TestUnmarkedPromises(t *testing.T) {
	for _, status := range []int{408, 429, 503} {
		step := func(c net.Conn, r *http.Request) {
			_, _ = io.WriteString(c, responseHead(r, fmt.Sprint(status, " Status"), "Content-Length: 4\r\n\r\ntext"))
		}
		Convey(fmt.Sprint("A plain service answers with an unmarked ", status), t, func() { assertUnknown(step) })
		Convey(fmt.Sprint("An engine answers with an unmarked ", status), t, func() {
			e := newEntry(newUpstream(step).endpoint("a", "llm"))
			assertResponse(e, "/stream/1", 502, "")
		})
	}
}
