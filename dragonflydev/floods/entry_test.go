package dragonflyfloods_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/common/dragonflycompression"
	"dragonflyrelay.example/library/common/dragonflypool"
	"dragonflyrelay.example/library/common/dragonflyrpcserver"
	"dragonflyrelay.example/library/values/dragonflyendpoint"
	"dragonflyrelay.example/library/values/dragonflyfollowresponse"
	. "github.com/smartystreets/goconvey/convey"
)

const (
	// entryMB is the memory of the entry's instance, and the bound of its peak.
	entryMB = 96
	// entryFiles bounds the descriptors that a crowd of callers leaves in use.
	entryFiles = callers + 60
	// document has routes to one service for calls of all sizes up to legalBytes.
	document = `{"version":1,"routes":[
{"name":"u","host":"h","path_prefix":"/once/","kind":"non_idempotent","timeout_ms":20000,"goal_ms":5000,"service":"app","max_attempts":1}],
"services":[{"name":"app"}],"limits":{"max_body_bytes":4194304}}`
)

// entry is a running entry that follows a fake control instance. Its upstream answers with
// answer.
type entry struct {
	*process
	address string
	answer  string
}

// startEntry starts an entry with the memory entryMB.
func startEntry(t *testing.T, answer string) *entry {
	return startEntryLimited(t, answer, maxDescriptors)
}

// startEntryLimited is like startEntry, with another limit of descriptors.
func startEntryLimited(t *testing.T, answer string, descriptors int) *entry {
	ctx, cancel := context.WithCancel(context.Background())
	Reset(cancel)
	e := &entry{address: freeAddress(), answer: answer}
	upstream := listen()
	go accept(upstream, func(c net.Conn) { e.serveUpstream(c) })
	control := listen()
	server := fakeControl(upstream.Addr().String())
	go func() { _ = server.Serve(ctx, control) }()
	ready := freeAddress()
	_, port, _ := net.SplitHostPort(control.Addr().String())
	e.process = startLimited(descriptors, t.TempDir(), "dragonflyentry", "forward", fmt.Sprintf(`{"name":"e1","zone":"z","listen":%q,"ready-listen":%q,
"seeds":[%q],"peer-port":%s,"repeat-ratio":0.2,"repeat-extra":10,"repeat-window-s":10,"grace-s":2,"memory-mb":%d}`,
		e.address, ready, control.Addr().String(), port, entryMB))
	eventually(func() bool { return answers("http://" + ready + "/readyz") })
	return e
}

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	Reset(func() { _ = l.Close() })
	return l
}

func accept(l net.Listener, serve func(c net.Conn)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go serve(c)
	}
}

// serveUpstream answers the requests of a connection.
func (e *entry) serveUpstream(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: seal\r\nContent-Length: %d\r\n\r\n%s",
			r.Header.Get("X-Attempt-Id"), len(e.answer), e.answer)
	}
}

// fakeControl serves the document and a routing table with one endpoint at upstream.
func fakeControl(upstream string) *dragonflyrpcserver.Server {
	packed, err := dragonflycompression.Compress([]byte(document))
	So(err, ShouldBeNil)
	return &dragonflyrpcserver.Server{Pool: &dragonflypool.Pool{}, Unary: map[string]func(context.Context, []byte) ([]byte, error){
		"/dragonfly.control/Follow": func(ctx context.Context, req []byte) ([]byte, error) {
			q, err := dragonflycodec.UnmarshalFollowRequest(req)
			if err != nil {
				return nil, err
			}
			n := dragonflyfollowresponse.Response{Leads: true, Version: 1, Content: packed, Term: 1, Revision: 1, Entries: 1, Complete: true}
			if q.Revision < 1 {
				n.HasTable, n.Endpoints = true, []dragonflyendpoint.Endpoint{{ID: "a", Boot: 1, Address: upstream, Service: "app", Slots: 500}}
				return dragonflycodec.MarshalFollowResponse(n)
			}
			if q.Version == 1 {
				n.Content = nil
				select {
				case <-time.After(time.Duration(q.Wait)):
				case <-ctx.Done():
				}
			}
			return dragonflycodec.MarshalFollowResponse(n)
		},
	}}
}

const callLine = "POST /once/%s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\n"

// assertOrdinaryCall checks that an ordinary call is answered.
func (e *entry) assertOrdinaryCall() {
	body := assertServed("POST", "http://"+e.address+"/once/1", strings.Repeat("p", 4<<10), 200, "X-Attempt-Id", "ordinary")
	So(body, ShouldEqual, e.answer)
}

// TestEntryFloods guards against a forwarding entry that ends, or no longer serves, because
// the buffers of many bodies together exceed the memory of its instance.
func TestEntryFloods(t *testing.T) {
	for _, c := range crowds {
		Convey(c.name, t, func() {
			e := startEntry(t, "done")
			c.gather(e.address, fmt.Sprintf(callLine, "x", "crowd"))
			e.assertOrdinaryCall()
			e.assertBounded(t, entryMB, entryFiles)
		})
	}
	Convey("A single body of the largest size is served", t, func() {
		e := startEntry(t, "done")
		body := assertServed("POST", "http://"+e.address+"/once/1", strings.Repeat("p", legalBytes), 200, "X-Attempt-Id", "large")
		So(body, ShouldEqual, "done")
		e.assertBounded(t, entryMB, entryFiles)
	})
}

// TestEntryConnections guards against an entry that has no descriptor left because of callers
// that hold incomplete bodies.
func TestEntryConnections(t *testing.T) {
	Convey("More connections than descriptors, each with half of a small body", t, func() {
		e := startEntry(t, "done")
		gather(e.address, maxDescriptors+100, func(w io.Writer) error {
			return sendParts(w, fmt.Sprintf(callLine, "x", "crowd")+"Content-Length: 2000\r\n\r\n", make([]byte, 1000), 1)
		})
		e.assertOrdinaryCall()
		e.assertBounded(t, entryMB, maxDescriptors*3/4)
	})
}

// TestSlowReaders guards against an entry that ends because it buffers the responses of many
// callers that do not read them.
func TestSlowReaders(t *testing.T) {
	Convey("Responses of just under 1 MiB whose callers do not read", t, func() {
		e := startEntry(t, strings.Repeat("r", 1<<20-1))
		gather(e.address, 2*callers, func(w io.Writer) error {
			_ = w.(*net.TCPConn).SetReadBuffer(4 << 10)
			// More responses than the buffers of the sockets hold.
			return sendParts(w, "", []byte(fmt.Sprintf(callLine, "x", "crowd")+"Content-Length: 1\r\n\r\nx"), 10)
		})
		time.Sleep(3 * time.Second) // For the responses, which no one awaits.
		e.assertOrdinaryCall()
		e.assertBounded(t, entryMB, 2*callers+2*callers+60)
	})
}

// TestOtherEntryFloods guards against the same in the entry that has no routing document.
func TestOtherEntryFloods(t *testing.T) {
	for _, c := range crowds {
		Convey(c.name, t, func() {
			address := freeAddress()
			p := start(t.TempDir(), "dragonflyentry", "serve", fmt.Sprintf(`{"name":"e1","listen":%q,"zone":"z","control":[%q],"key":"k"}`, address, freeAddress()))
			eventually(func() bool { return answers("http://" + address + "/healthz") })
			c.gather(address, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n")
			body := assertServed("POST", "http://"+address+"/v1/chat/completions", `{"model":"m"}`, 503)
			So(body, ShouldContainSubstring, "no-configuration")
			p.assertBounded(t, controlMB, entryFiles)
		})
	}
}
