package dragonflyboundedlistener_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"dragonflyrelay.example/library/common/dragonflyboundedlistener"
	"dragonflyrelay.example/library/common/dragonflyreservations"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

const maxBody = 1 << 20

// httpServer returns a server that reads whole requests within memory bytes.
func httpServer(memory int64) *server {
	return newServer(&dragonflyboundedlistener.Listener{
		Name: "test", MaxBody: maxBody, MaxWait: 500 * time.Millisecond, Memory: &dragonflyreservations.Reservations{Name: "test", Limit: memory},
	})
}

// assertArrives sends raw in pieces of a size, and checks that the server reads the body of a
// request with a length. It answers the request.
func assertArrives(caller, accepted net.Conn, raw, body string, piece int) {
	go func() {
		for rest := raw; rest != ""; {
			n := min(piece, len(rest))
			_, _ = io.WriteString(caller, rest[:n])
			rest = rest[n:]
		}
	}()
	So(accepted.SetReadDeadline(time.Now().Add(10*time.Second)), ShouldBeNil)
	req, err := http.ReadRequest(bufio.NewReader(accepted))
	So(err, ShouldBeNil)
	So(req.ContentLength, ShouldEqual, len(body))
	So(req.Header.Get("Expect"), ShouldBeEmpty)
	So(req.Header.Get("X-Other"), ShouldEqual, "kept")
	got, err := io.ReadAll(req.Body)
	So(err, ShouldBeNil)
	So(string(got) == body, ShouldBeTrue)
	_, err = io.WriteString(accepted, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	So(err, ShouldBeNil)
}

// assertAnswer checks the status of the next response at the caller.
func assertAnswer(caller net.Conn, status int) {
	So(caller.SetReadDeadline(time.Now().Add(10*time.Second)), ShouldBeNil)
	resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
	So(err, ShouldBeNil)
	defer func() { _ = resp.Body.Close() }()
	So(resp.StatusCode, ShouldEqual, status)
}

// inChunks returns body as chunks of at most size bytes.
func inChunks(body string, size int) string {
	var b strings.Builder
	for rest := body; rest != ""; {
		n := min(size, len(rest))
		_, _ = fmt.Fprintf(&b, "%X;ext=1\r\n%s\r\n", n, rest[:n])
		rest = rest[n:]
	}
	return b.String() + "0\r\nX-Trailer: 1\r\n\r\n"
}

const head = "PUT /x HTTP/1.1\r\nHost: h\r\nX-Other: kept\r\n"

// TestRequests guards against requests that change on their way to the server, and against
// those that reach it although they are not whole.
func TestRequests(t *testing.T) {
	Convey("Requests arrive whole, with a length in place of chunks, also several on a connection", t, func() {
		caller, accepted := httpServer(8 << 20).dial()
		for _, n := range []int{0, 1, 5000, 300_000, maxBody} {
			body := strings.Repeat("0123456789", n/10+1)[:n]
			assertArrives(caller, accepted, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, n, body), body, 70_000)
			assertAnswer(caller, 200)
			assertArrives(caller, accepted, head+"Transfer-Encoding: chunked\r\n\r\n"+inChunks(body, 90_000), body, 3000)
			assertAnswer(caller, 200)
		}
		assertArrives(caller, accepted, head+"Transfer-Encoding: chunked\r\n\r\n"+inChunks("abc", 1), "abc", 1)
	})
	Convey("A caller that asks whether to continue is told to", t, func() {
		caller, accepted := httpServer(8 << 20).dial()
		_, err := io.WriteString(caller, head+"Expect: 100-continue\r\nContent-Length: 3\r\n\r\n")
		So(err, ShouldBeNil)
		go func() {
			line, _ := bufio.NewReader(caller).ReadString('\n')
			if strings.Contains(line, "100") {
				_, _ = io.WriteString(caller, "abc")
			}
		}()
		assertArrives(caller, accepted, "", "abc", 1)
	})
	Convey("Requests that can never arrive are refused", t, func() {
		for raw, status := range map[string]int{
			head + fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBody+1):                                  413,
			head + "Transfer-Encoding: chunked\r\n\r\n" + inChunks(strings.Repeat("x", maxBody+1), 9000): 413,
			head + "Content-Length: x\r\n\r\n":                                                           400,
			head + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n":                                           400,
			head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n":                                     400,
			head + "Transfer-Encoding: chunked\r\n\r\nFFFFFFFFFFFFFFFFF\r\n":                             400,
			head + strings.Repeat("X-More: 1\r\n", 7000):                                                 431,
		} {
			caller, accepted := httpServer(8 << 20).dial()
			go func() { _, _ = io.WriteString(caller, raw) }()
			_, err := io.Copy(io.Discard, struct{ io.Reader }{accepted})
			So(err, ShouldNotBeNil)
			assertAnswer(caller, status)
		}
	})
	Convey("A read during a request ends with the connection, and leaves the next request whole", t, func() {
		caller, accepted := httpServer(8 << 20).dial()
		_, err := io.WriteString(caller, head+"\r\n"+head+"\r\n")
		So(err, ShouldBeNil)
		_, err = http.ReadRequest(bufio.NewReader(accepted))
		So(err, ShouldBeNil)
		_, err = accepted.Read(make([]byte, 1))
		So(isTimeout(err), ShouldBeTrue)
		_, err = io.WriteString(accepted, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		So(err, ShouldBeNil)
		assertArrives(caller, accepted, "", "", 1)
	})
	Convey("A request that is worked on is not closed for others", t, func() {
		s := httpServer(4 << 20)
		body := strings.Repeat("x", maxBody)
		raw := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, maxBody, body)
		caller, accepted := s.dial()
		go func() { _, _ = io.WriteString(caller, raw) }()
		req, err := http.ReadRequest(bufio.NewReader(accepted))
		So(err, ShouldBeNil)
		_, err = io.Copy(io.Discard, req.Body)
		So(err, ShouldBeNil)
		setBusy(accepted, true)
		other, refused := s.dial()
		go func() { _, _ = io.WriteString(other, raw) }()
		_, err = io.Copy(io.Discard, struct{ io.Reader }{refused})
		So(err, ShouldNotBeNil)
		assertClosed(caller, false)
	})
	Convey("A request that does not end is closed for one that arrives", t, func() {
		s := httpServer(4 << 20)
		stalled, other := s.dial()
		go func() { _, _ = io.Copy(io.Discard, struct{ io.Reader }{other}) }()
		_, err := io.WriteString(stalled, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, maxBody, strings.Repeat("x", maxBody-1)))
		So(err, ShouldBeNil)
		time.Sleep(200 * time.Millisecond)
		body := strings.Repeat("x", maxBody)
		caller, accepted := s.dial()
		assertArrives(caller, accepted, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, maxBody, body), body, maxBody)
		assertClosed(stalled, true)
	})
}

// TestPieces guards against a result that depends on how a request is cut into packets.
func TestPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		inner := &pieces{t: t, rest: head + "Transfer-Encoding: chunked\r\n\r\n" + inChunks("abcdefghij", rapid.IntRange(1, 10).Draw(t, "chunk")) + head + "Content-Length: 2\r\n\r\nyz"}
		c := dragonflyboundedlistener.Listener{Listener: inner, MaxBody: maxBody}
		accepted, err := c.Accept()
		if err != nil {
			t.Fatal(err)
		}
		for _, want := range []string{"abcdefghij", "yz"} {
			req, err := http.ReadRequest(bufio.NewReader(accepted))
			if err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(req.Body)
			if err != nil || string(got) != want {
				t.Fatalf("%q, %v", got, err)
			}
			_, _ = accepted.Write([]byte("x"))
		}
	})
}

// pieces is a listener with one connection that reads pieces of random sizes.
type pieces struct {
	t    *rapid.T
	rest string
}

func (p *pieces) Accept() (net.Conn, error) { return pieceConn{p}, nil }
func (p *pieces) Close() error              { return nil }
func (p *pieces) Addr() net.Addr            { return nil }

type pieceConn struct{ p *pieces }

func (c pieceConn) Read(b []byte) (n int, err error) {
	if c.p.rest == "" {
		return 0, io.EOF
	}
	n = copy(b[:min(len(b), c.p.rand())], c.p.rest)
	c.p.rest = c.p.rest[n:]
	return n, nil
}

func (p *pieces) rand() int { return rapid.IntRange(1, 40).Draw(p.t, "piece") }

func (c pieceConn) Write(b []byte) (int, error)      { return len(b), nil }
func (c pieceConn) Close() error                     { return nil }
func (c pieceConn) LocalAddr() net.Addr              { return nil }
func (c pieceConn) RemoteAddr() net.Addr             { return nil }
func (c pieceConn) SetDeadline(time.Time) error      { return nil }
func (c pieceConn) SetReadDeadline(time.Time) error  { return nil }
func (c pieceConn) SetWriteDeadline(time.Time) error { return nil }
