package dragonflydebugserver_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"dragonflyrelay.example/library/common/dragonflydebugserver"
	. "github.com/smartystreets/goconvey/convey"
)

// assertStatus requires the status of a response and returns its body.
func assertStatus(url string, status int) []byte {
	res, err := http.Get(url)
	So(err, ShouldBeNil)
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	So(err, ShouldBeNil)
	So(res.StatusCode, ShouldEqual, status)
	return body
}

func TestServer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var ready atomic.Bool
	s := dragonflydebugserver.Server{Ready: ready.Load}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ctx, l) }()
	base := "http://" + l.Addr().String()

	Convey("A running program that accepts no requests is healthy but not ready", t, func() {
		assertStatus(base+"/healthz", http.StatusOK)
		assertStatus(base+"/readyz", http.StatusServiceUnavailable)
		ready.Store(true)
		assertStatus(base+"/readyz", http.StatusOK)
	})
	Convey("The metrics are valid JSON", t, func() {
		var vars map[string]any
		So(json.Unmarshal(assertStatus(base+"/debug/vars", http.StatusOK), &vars), ShouldBeNil)
		So(vars, ShouldContainKey, "memstats")
	})
	Convey("A body that no page needs is refused", t, func() {
		res, err := http.Post(base+"/healthz", "", strings.NewReader(strings.Repeat("x", 2000)))
		So(err, ShouldBeNil)
		_ = res.Body.Close()
		So(res.StatusCode, ShouldEqual, http.StatusRequestEntityTooLarge)
	})
	Convey("The end of the context stops the server", t, func() {
		cancel()
		So(<-ended, ShouldBeNil)
	})
}
