package dragonflyforwarder_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// cutAt returns a step that writes the first n bytes of text and closes the connection, for
// the n at the end of the request's path.
func cutAt(text func(r *http.Request) string) func(c net.Conn, r *http.Request) {
	return func(c net.Conn, r *http.Request) {
		n, _ := strconv.Atoi(path.Base(r.URL.Path))
		whole := text(r)
		_, _ = io.WriteString(c, whole[:min(n, len(whole)-1)])
		_ = c.Close()
	}
}

// assertNeverWhole sends requests for an answer that is cut after each number of bytes up to
// n, and checks that none of them ends like a whole one.
func assertNeverWhole(e *entry, prefix string, n int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var whole []string
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			path := fmt.Sprint(prefix, i)
			req, err := http.NewRequest("POST", "http://"+e.addr+path, strings.NewReader("prompt"))
			if err != nil {
				panic(err)
			}
			status, body, err := e.do(req, path)
			if status < 500 && err == nil {
				mu.Lock()
				defer mu.Unlock()
				whole = append(whole, fmt.Sprintf("cut after %d bytes: %d %q", i, status, body))
			}
		}()
	}
	wg.Wait()
	So(whole, ShouldBeEmpty)
}

// TestCutAnswers guards against a success with an empty or short body for an answer whose
// upstream closes the connection in the middle of its head or body.
func TestCutAnswers(t *testing.T) {
	lengths := func(r *http.Request) string {
		return responseHead(r, "200 OK", "Content-Length: 5\r\n\r\nwhole")
	}
	stream := func(r *http.Request) string { return chunked(r, "200 OK", streamHead, eventText(1, 3)) }
	interim := func(text func(r *http.Request) string) func(r *http.Request) string {
		return func(r *http.Request) string {
			return "HTTP/1.1 103 Hints\r\nX-Attempt-Id: " + r.Header.Get("X-Attempt-Id") + "\r\nContent-Length: 0\r\n\r\n" + text(r)
		}
	}
	for name, text := range map[string]func(r *http.Request) string{
		"with a length":                          lengths,
		"in chunks":                              func(r *http.Request) string { return chunked(r, "200 OK", "", "whole") },
		"with a length, after an interim answer": interim(lengths),
	} {
		for _, prefix := range []string{"/once/", "/read/"} {
			Convey("An answer "+name+" that is cut, "+prefix, t, func() {
				u := newUpstream(cutAt(text))
				assertNeverWhole(newEntry(u.endpoint("a", "app")), prefix, 160)
			})
		}
	}
	for name, text := range map[string]func(r *http.Request) string{
		"in chunks":                          stream,
		"in chunks, after an interim answer": interim(stream),
	} {
		Convey("A stream "+name+" that is cut", t, func() {
			u := newUpstream(cutAt(text))
			assertNeverWhole(newEntry(u.endpoint("a", "llm")), "/stream/", 240)
		})
		Convey("The continuation of a stream "+name+" that is cut", t, func() {
			step := func(c net.Conn, r *http.Request) {
				if r.Header.Get("Last-Event-Id") == "" {
					streamResponse(1, 3, false)(c, r)
					return
				}
				cutAt(text)(c, r)
			}
			u, v := newUpstream(step), newUpstream(step)
			assertNeverWhole(newEntry(u.endpoint("a", "llm"), v.endpoint("b", "llm")), "/stream/", 240)
		})
	}
	Convey("An answer without a length whose connection is reset", t, func() {
		u := newUpstream(func(c net.Conn, r *http.Request) {
			_, _ = io.WriteString(c, responseHead(r, "200 OK", "\r\n"+r.URL.Path))
			time.Sleep(20 * time.Millisecond) // The entry has read it.
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		})
		assertNeverWhole(newEntry(u.endpoint("a", "app")), "/once/", 20)
	})
	Convey("A head without a body that is cut", t, func() {
		u := newUpstream(cutAt(func(r *http.Request) string { return responseHead(r, "200 OK", "\r\n") }))
		n := len("HTTP/1.1 200 OK\r\nX-Attempt-Id: id-/once/\r\nX-Server-Seal: seal\r\n")
		assertNeverWhole(newEntry(u.endpoint("a", "app")), "/once/", n)
	})
}
