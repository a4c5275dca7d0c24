package dragonflycontrolserver_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/common/dragonflyoperations"
	"dragonflyrelay.example/library/common/dragonflyrpcclient"
	"dragonflyrelay.example/library/values/dragonflyfollowrequest"
	"dragonflyrelay.example/library/values/dragonflyfollowresponse"
	"dragonflyrelay.example/platform/dragonflycontrolapi"
	. "github.com/smartystreets/goconvey/convey"
)

// callAndLeave sends a call without a body and closes the connection at once, as it looks
// to an instance that stood still until its caller had given up.
func callAndLeave(address, method, path string) {
	c, err := net.Dial("tcp", address)
	So(err, ShouldBeNil)
	_, err = io.WriteString(c, method+" "+path+" HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
	So(err, ShouldBeNil)
	So(c.Close(), ShouldBeNil)
}

// follow returns the response of the leader among the clients to an entry without a table.
func follow(clients ...*dragonflyrpcclient.Client) (n dragonflyfollowresponse.Response) {
	raw, err := dragonflycodec.MarshalFollowRequest(dragonflyfollowrequest.Request{Role: dragonflyfollowrequest.Entry, Process: "e1"})
	So(err, ShouldBeNil)
	assertWithin(5*time.Second, func() bool {
		for _, client := range clients {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			res, err := client.Call(ctx, "/dragonfly.control/Follow", raw)
			cancel()
			if err == nil {
				n, err = dragonflycodec.UnmarshalFollowResponse(res)
			}
			if err == nil && n.Leads {
				return true
			}
		}
		return false
	})
	return n
}

// assertZoneStaysOut checks that the only zone that is out is still out when a change that
// is under way would have taken effect.
func assertZoneStaysOut(clients ...*dragonflyrpcclient.Client) {
	time.Sleep(300 * time.Millisecond)
	So(follow(clients...).OutZones, ShouldResemble, []string{"zona-a"})
}

// TestCallersThatLeft guards against an instance that wakes up and carries out a call of
// seconds ago, whose caller has had the opposite acknowledged by another instance.
func TestCallersThatLeft(t *testing.T) {
	Convey("Given three control instances", t, func() {
		c := newDeployment(t)
		var clients []*dragonflyrpcclient.Client
		for ip := range c.dirs {
			clients = append(clients, &dragonflyrpcclient.Client{Addr: fmt.Sprintf("%s:%d", ip, c.port)})
		}
		operator := func(ip string) string { return fmt.Sprintf("%s:%d", ip, c.port+1) }
		c.callUntil(200, "127.0.0.21", "PUT", "/config", routingDocument(5))

		Convey("a zone stays out although a caller that has left asked for its return", func() {
			for ip := range c.stops {
				c.callUntil(200, ip, "POST", "/evacuate/zona-a", "")
				callAndLeave(operator(ip), "DELETE", "/evacuate/zona-a")
				assertZoneStaysOut(clients...)
			}
		})
		Convey("a zone stays in although a caller that has left asked to take it out", func() {
			for ip := range c.stops {
				c.callUntil(200, ip, "POST", "/evacuate/zona-a", "")
				c.callUntil(200, ip, "DELETE", "/evacuate/zona-a", "")
				callAndLeave(operator(ip), "POST", "/evacuate/zona-a")
				time.Sleep(300 * time.Millisecond)
				So(follow(clients...).OutZones, ShouldBeEmpty)
			}
		})
		Convey("an upstream that has started again stays although a caller that has left signed it off", func() {
			for ip := range c.stops {
				c.callUntil(200, ip, "PUT", "/servers/i-1", `{"service":"s","address":"10.0.0.1:1","state":"ready","seq":1,"born":1}`)
				callAndLeave(operator(ip), "DELETE", "/servers/i-1")
				time.Sleep(300 * time.Millisecond)
				endpoints := follow(clients...).Endpoints
				So(endpoints, ShouldHaveLength, 1)
				So(endpoints[0].Leaving, ShouldBeFalse)
			}
		})
	})
}

// TestDelayedForward guards against a change of a zone, or the last report of an upstream,
// that was held up on the way to the leader and takes effect after what was acknowledged
// since.
func TestDelayedForward(t *testing.T) {
	Convey("A zone stays out, and an upstream stays, although calls to the contrary arrive at the leader late", t, func() {
		controls := newControls(t, 3)
		l := connectThroughProxies(t, controls)
		operators := make([]string, len(controls))
		for i, c := range controls {
			c.server.Settings.OperatorListen = "127.0.0.1:0"
			c.server.Operator = func(ctx context.Context, l net.Listener, ops dragonflyoperations.Operations) error {
				operators[i] = l.Addr().String()
				return dragonflycontrolapi.Serve(ctx, l, ops, 1<<20)
			}
		}
		startAll(t, controls)
		leader := assertLeader(controls)
		var at, slow int
		for i, c := range controls {
			if c == leader {
				at, slow = i, (i+1)%3
			}
		}
		call := func(i int, method, path, body string) int {
			req, err := http.NewRequest(method, "http://"+operators[i]+path, strings.NewReader(body))
			So(err, ShouldBeNil)
			resp, err := (&http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
			if err != nil {
				return 0
			}
			_ = resp.Body.Close()
			return resp.StatusCode
		}
		const zone, upstream = "/evacuate/zona-a", "/servers/i-1"
		heartbeat := func(boot int) string {
			return fmt.Sprintf(`{"service":"s","address":"10.0.0.1:1","state":"ready","seq":1,"born":%d}`, boot)
		}
		So(call(at, "POST", zone, ""), ShouldEqual, 200)
		So(call(at, "PUT", upstream, heartbeat(1)), ShouldEqual, 200)
		names := [2]string{controls[slow].server.Settings.Instance, leader.server.Settings.Instance}
		held := l[names].Toxics
		_, err := held.AddToxicJson(strings.NewReader(`{"name":"hold","type":"latency","stream":"upstream","attributes":{"latency":60000}}`))
		So(err, ShouldBeNil)
		So(call(slow, "DELETE", zone, ""), ShouldNotEqual, 200)
		So(call(at, "DELETE", zone, ""), ShouldEqual, 200)
		So(call(at, "POST", zone, ""), ShouldEqual, 200)
		So(call(slow, "DELETE", upstream, ""), ShouldNotEqual, 200)
		So(call(at, "PUT", upstream, heartbeat(2)), ShouldEqual, 200)
		So(held.RemoveToxic("hold"), ShouldBeNil)
		assertZoneStaysOut(leader.client)
		endpoints := follow(leader.client).Endpoints
		So(endpoints, ShouldHaveLength, 1)
		So(endpoints[0].Leaving, ShouldBeFalse)
		stopAll(controls)
	})
}
