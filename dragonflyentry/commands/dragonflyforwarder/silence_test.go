package dragonflyforwarder_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflycontact"
	"dragonflyrelay.example/library/values/dragonflyendpoint"
	"dragonflyrelay.example/library/values/dragonflyfollowrequest"
	"dragonflyrelay.example/library/values/dragonflyfollowresponse"
	. "github.com/smartystreets/goconvey/convey"
)

// lastEvent is the number of the last event of the streams of these tests.
const lastEvent = 6

// silentStream returns a step that writes the events after the caller's Last-Event-Id up
// to lastEvent, and pauses before the event number at.
func silentStream(at int, pause time.Duration) func(c net.Conn, r *http.Request) {
	return func(c net.Conn, r *http.Request) {
		_, _ = io.WriteString(c, responseHead(r, "200 OK", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for i := last + 1; i <= lastEvent; i++ {
			if i == at {
				time.Sleep(pause)
			}
			e := eventText(i, i)
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e)
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}
}

// silentUnnumberedStream returns a step that writes two events without ids, with a pause
// between them.
func silentUnnumberedStream(pause time.Duration) func(c net.Conn, r *http.Request) {
	return func(c net.Conn, r *http.Request) {
		_, _ = io.WriteString(c, responseHead(r, "200 OK", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: x\n\n\r\n"))
		time.Sleep(pause)
		_, _ = io.WriteString(c, "9\r\ndata: y\n\n\r\n0\r\n\r\n")
	}
}

// assertStream checks that a stream is complete and in order, and returns how long it took.
func assertStream(e *entry) time.Duration {
	began := time.Now()
	assertResponse(e, "/stream/1", 200, eventText(1, lastEvent))
	return time.Since(began)
}

// startStream sends a request whose first event comes from first, the only endpoint, and
// then gives the entry the routing table with the endpoints too.
func startStream(first *upstream, endpoints ...dragonflyendpoint.Endpoint) *entry {
	next := make(chan []dragonflyendpoint.Endpoint, 1)
	e := newEntryWithTables(0, next, first.endpoint("a", "llm"))
	go func() {
		for len(first.requests()) == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		next <- append([]dragonflyendpoint.Endpoint{first.endpoint("a", "llm")}, endpoints...)
	}()
	return e
}

// TestSilentEndpoint guards against streams that are cut because a sound endpoint was
// silent for a second or so.
func TestSilentEndpoint(t *testing.T) {
	for _, pause := range []time.Duration{time.Second, 1500 * time.Millisecond, 2200 * time.Millisecond} {
		Convey(fmt.Sprintf("A stream at the only endpoint goes on after a silence of %v", pause), t, func() {
			u := newUpstream(silentStream(4, pause))
			assertStream(newEntry(u.endpoint("a", "llm")))
			So(u.requests(), ShouldHaveLength, 1)
		})
	}
	Convey("A stream moves from a silent endpoint to another one", t, func() {
		u, v := newUpstream(silentStream(4, 2500*time.Millisecond)), newUpstream(silentStream(0, 0))
		So(assertStream(startStream(u, v.endpoint("b", "llm"))), ShouldBeLessThan, 1200*time.Millisecond)
		So(v.requests(), ShouldHaveLength, 1)
		So(v.requests()[0].Get("Last-Event-Id"), ShouldEqual, "3")
	})
	Convey("A stream moves once another endpoint can take it", t, func() {
		u, v := newUpstream(silentStream(4, 2500*time.Millisecond)), newUpstream(silentStream(0, 0))
		next := make(chan []dragonflyendpoint.Endpoint, 1)
		e := newEntryWithTables(0, next, u.endpoint("a", "llm"))
		time.AfterFunc(1300*time.Millisecond, func() {
			next <- []dragonflyendpoint.Endpoint{u.endpoint("a", "llm"), v.endpoint("b", "llm")}
		})
		So(assertStream(e), ShouldBeLessThan, 2200*time.Millisecond)
		So(v.requests(), ShouldHaveLength, 1)
	})
	Convey("A stream that the other endpoint refuses goes on at the silent one", t, func() {
		u, v := newUpstream(silentStream(4, 900*time.Millisecond)), newUpstream(notRun)
		assertStream(startStream(u, v.endpoint("b", "llm")))
		So(len(v.requests()), ShouldBeLessThanOrEqualTo, 1)
	})
	Convey("A stream without event ids stays at a silent endpoint", t, func() {
		u, v := newUpstream(silentUnnumberedStream(time.Second)), newUpstream(silentUnnumberedStream(0))
		e := startStream(u, v.endpoint("b", "llm"))
		assertResponse(e, "/stream/1", 200, "data: x\n\ndata: y\n\n")
		So(v.requests(), ShouldBeEmpty)
	})
	Convey("A stream that has used its attempts stays at a silent endpoint", t, func() {
		u, v, w := newUpstream(silentStream(3, 2*time.Second)), newUpstream(silentStream(5, time.Second)), newUpstream(silentStream(5, time.Second))
		assertStream(startStream(u, v.endpoint("b", "llm"), w.endpoint("c", "llm")))
		So(len(v.requests())+len(w.requests()), ShouldEqual, 1)
	})
	Convey("A stream whose connection is closed moves at once", t, func() {
		u, v := newUpstream(streamResponse(1, 3, false)), newUpstream(silentStream(0, 0))
		e := newEntry(u.endpoint("a", "llm"), v.endpoint("b", "llm"))
		So(assertStream(e), ShouldBeLessThan, 300*time.Millisecond)
	})
}

// TestDroppedStreams guards against an entry that still has streams at an endpoint without
// reporting it, so that control uses the endpoint's group again too early.
func TestDroppedStreams(t *testing.T) {
	Convey("Control gets the endpoint that has left the table while a stream is in progress there, and then no more", t, func() {
		reports := make(chan []string, 64)
		next := make(chan []dragonflyendpoint.Endpoint, 1)
		u := newUpstream(silentStream(4, 2500*time.Millisecond))
		e := newEntryWithControl(0, next, func(q dragonflyfollowrequest.Request, _ *dragonflyfollowresponse.Response) {
			if q.Revision == 2 {
				reports <- q.Dropped
			}
		}, u.head("a", "llm"))
		time.AfterFunc(300*time.Millisecond, func() { next <- nil })
		_, _, err := e.call("POST", "/stream/1")
		So(err, ShouldNotBeNil)
		So(<-reports, ShouldResemble, []string{"a"})
		So(<-reports, ShouldBeEmpty)
	})
	Convey("A report of a loss elsewhere names the endpoint as well", t, func() {
		reports := make(chan []string, 64)
		next := make(chan []dragonflyendpoint.Endpoint, 1)
		u, v := newUpstream(silentStream(4, 2500*time.Millisecond)), newUpstream(closeConnection)
		dropped := make(chan struct{}, 64)
		e := newEntryWithControl(0, next, func(q dragonflyfollowrequest.Request, _ *dragonflyfollowresponse.Response) {
			switch {
			case q.Revision == 2 && len(q.Losses) > 0 && q.Wait == 0:
				reports <- q.Dropped
			case q.Revision == 2 && len(q.Dropped) > 0:
				dropped <- struct{}{}
			}
		}, u.head("a", "llm"), v.endpoint("b", "app"))
		time.AfterFunc(300*time.Millisecond, func() { next <- []dragonflyendpoint.Endpoint{v.endpoint("b", "app")} })
		ended := make(chan error, 1)
		go func() { ended <- e.startCall("/stream/1") }()
		<-dropped
		assertResponse(e, "/once/1", 502, "")
		So(<-reports, ShouldResemble, []string{"a"})
		So(<-ended, ShouldNotBeNil)
	})
	Convey("Control gets the head that has left the table while a request without a stream is in progress there", t, func() {
		reports := make(chan []string, 64)
		next := make(chan []dragonflyendpoint.Endpoint, 1)
		u := newUpstream(func(c net.Conn, r *http.Request) {
			time.Sleep(800 * time.Millisecond)
			plainResponse("done")(c, r)
		})
		e := newEntryWithControl(0, next, func(q dragonflyfollowrequest.Request, _ *dragonflyfollowresponse.Response) {
			if q.Revision == 2 {
				reports <- q.Dropped
			}
		}, u.head("a", "app"))
		time.AfterFunc(300*time.Millisecond, func() { next <- nil })
		assertResponse(e, "/once/1", 200, "done")
		So(<-reports, ShouldResemble, []string{"a"})
		time.Sleep(2 * time.Second)
		var last []string
		for len(reports) > 0 {
			last = <-reports
		}
		So(last, ShouldBeEmpty)
	})
	Convey("A stream at a plain upstream that has left the table goes on: control has only not heard of it", t, func() {
		next := make(chan []dragonflyendpoint.Endpoint, 1)
		u := newUpstream(silentStream(4, 1200*time.Millisecond))
		e := newEntryWithTables(0, next, u.endpoint("a", "llm"))
		time.AfterFunc(300*time.Millisecond, func() { next <- nil })
		assertStream(e)
		assertResponse(e, "/stream/2", 503, "")
	})
}

// TestUnreportedEndpoint guards against a head at work that control takes for lost, since the
// entry does not report that it answers.
func TestUnreportedEndpoint(t *testing.T) {
	Convey("Control gets the latest answer of an endpoint that the table marks as unreported", t, func() {
		reports := make(chan []dragonflycontact.Contact, 64)
		u := newUpstream(silentStream(4, 1500*time.Millisecond))
		unreported := u.endpoint("a", "llm")
		unreported.Unreported = true
		e := newEntryWithControl(0, nil, func(q dragonflyfollowrequest.Request, _ *dragonflyfollowresponse.Response) {
			if q.Revision > 0 && len(q.Contacts) > 0 {
				reports <- q.Contacts
			}
		}, unreported)
		assertStream(e)
		first := <-reports
		So(first, ShouldHaveLength, 1)
		So(first[0].ID, ShouldEqual, "a")
		So(first[0].Age, ShouldBeBetween, 0, dragonflyduration.Second)
	})
}
