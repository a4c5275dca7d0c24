package dragonflyfloods_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	// callers is the size of a crowd.
	callers = 60
	// legalBytes is the largest body that documents and settings allow in these tests.
	legalBytes = 4 << 20
	// sendTimeout ends the sending of a caller whose bytes are not read.
	sendTimeout = 5 * time.Second
)

// crowd is one way to send bodies that do not end: send writes the part of a request that
// follows the request line and the Host header.
type crowd struct {
	name string
	send func(w io.Writer) error
}

// crowds are those of all tests for servers of HTTP.
var crowds = []crowd{
	{"whole bodies but for the last byte", func(w io.Writer) error {
		return sendParts(w, fmt.Sprintf("Content-Length: %d\r\n\r\n", legalBytes), bytes.Repeat([]byte("x"), legalBytes-1), 1)
	}},
	{"bodies but for the last byte, in pieces", func(w io.Writer) error {
		return sendParts(w, fmt.Sprintf("Content-Length: %d\r\n\r\n", legalBytes), bytes.Repeat([]byte("x"), 16<<10-1), legalBytes/(16<<10))
	}},
	{"large chunks", func(w io.Writer) error {
		return sendParts(w, "Transfer-Encoding: chunked\r\n\r\n", chunk(256<<10), legalBytes/(256<<10))
	}},
	{"chunks of one byte", func(w io.Writer) error {
		return sendParts(w, "Transfer-Encoding: chunked\r\n\r\n", bytes.Repeat(chunk(1), 8<<10), 2<<20/(8<<10))
	}},
	{"far over the limit, announced", func(w io.Writer) error {
		return sendParts(w, fmt.Sprintf("Content-Length: %d\r\n\r\n", 4<<30), bytes.Repeat([]byte("x"), 64<<10), 3<<20/(64<<10))
	}},
	{"far over the limit, not announced", func(w io.Writer) error {
		return sendParts(w, "Transfer-Encoding: chunked\r\n\r\n", chunk(64<<10), 32<<20/(64<<10))
	}},
}

func chunk(n int) []byte { return []byte(fmt.Sprintf("%x\r\n%s\r\n", n, strings.Repeat("x", n))) }

// sendParts writes head and then part n times.
func sendParts(w io.Writer, head string, part []byte, n int) error {
	if _, err := io.WriteString(w, head); err != nil {
		return err
	}
	for range n {
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// gather sends the crowd to address and returns when each caller has sent all or cannot send
// more. The connections stay open until the end of the test.
func (c crowd) gather(address, requestLine string) {
	gather(address, callers, func(w io.Writer) error {
		if _, err := io.WriteString(w, requestLine); err != nil {
			return err
		}
		return c.send(w)
	})
}

// gather opens n connections, on each of which send is called, and returns when all have
// returned.
func gather(address string, n int, send func(w io.Writer) error) {
	var running sync.WaitGroup
	conns := make([]net.Conn, n)
	for i := range n {
		c, err := net.Dial("tcp", address)
		So(err, ShouldBeNil)
		conns[i] = c
		running.Go(func() {
			_ = c.SetWriteDeadline(time.Now().Add(sendTimeout))
			_ = send(c) // Its error shows that the caller was refused, which is allowed.
		})
	}
	Reset(func() {
		for _, c := range conns {
			_ = c.Close()
		}
	})
	running.Wait()
}

// assertServed checks that a request is answered with status, and returns the body.
func assertServed(method, url, body string, status int, headers ...string) string {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	So(err, ShouldBeNil)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	req.Host = "h"
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second}).Do(req)
	So(err, ShouldBeNil)
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	So(err, ShouldBeNil)
	So(resp.StatusCode, ShouldEqual, status)
	return string(raw)
}

// answers reports whether a GET request is answered with 200.
func answers(url string) bool {
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}).Get(url)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
