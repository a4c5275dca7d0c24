package dragonflycontrolserver_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"dragonflyrelay.example/dragonflycontrol/commands/dragonflycontrolserver"
	"dragonflyrelay.example/dragonflycontrol/queries/dragonflycontrolsettings"
	"dragonflyrelay.example/library/common/dragonflyoperations"
	"dragonflyrelay.example/platform/dragonflycontrolapi"
	"dragonflyrelay.example/platform/dragonflydocumentjson"
	. "github.com/smartystreets/goconvey/convey"
)

// freePeerPort returns a port that is free on the first of the loopback addresses
// that the tests use.
func freePeerPort() (port int) {
	l, err := net.Listen("tcp", "127.0.0.21:0")
	So(err, ShouldBeNil)
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}

// deployment is a set of control instances with member changes enabled. Each has
// a loopback address of its own, as members are named by their IP address. Data
// folders and stop functions are kept by address.
type deployment struct {
	port  int
	dirs  map[string]string
	stops map[string]func()
	// change, if not nil, changes each instance before it starts.
	change func(s *dragonflycontrolserver.Server)
}

func newDeployment(t *testing.T) *deployment {
	c := &deployment{port: freePeerPort(), dirs: map[string]string{}, stops: map[string]func(){}}
	for _, ip := range []string{"127.0.0.21", "127.0.0.22", "127.0.0.23"} {
		c.dirs[ip] = t.TempDir()
		c.start(ip, true)
	}
	return c
}

func (c *deployment) start(ip string, bootstrap bool) {
	s := c.server(ip, bootstrap)
	if c.change != nil {
		c.change(s)
	}
	c.run(ip, s)
}

// server returns the instance at ip, which has not been started.
func (c *deployment) server(ip string, bootstrap bool) *dragonflycontrolserver.Server {
	addr := func(n int) string { return fmt.Sprintf("%s:%d", ip, c.port+n) }
	return &dragonflycontrolserver.Server{
		Settings: dragonflycontrolsettings.Settings{
			Instance: ip, Seeds: []string{"127.0.0.21:1", "127.0.0.22:1", "127.0.0.23:1"}, PeerPort: c.port,
			Listen: addr(0), DebugListen: ip + ":0", OperatorListen: addr(1), DataFolder: c.dirs[ip],
			WithoutKey: true, Bootstrap: bootstrap, SnapshotEntries: 4,
		},
		Decode: dragonflydocumentjson.Unmarshal,
		Operator: func(ctx context.Context, l net.Listener, ops dragonflyoperations.Operations) error {
			return dragonflycontrolapi.Serve(ctx, l, ops, 1<<20)
		},
	}
}

// run runs s in a goroutine until it is stopped.
func (c *deployment) run(ip string, s *dragonflycontrolserver.Server) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	c.stops[ip] = func() {
		cancel()
		<-ended
		delete(c.stops, ip)
	}
	Reset(func() {
		if stop, ok := c.stops[ip]; ok {
			stop()
		}
	})
}

// restartEmpty stops the instance, deletes its data folder and starts it again.
func (c *deployment) restartEmpty(ip string) {
	c.stops[ip]()
	So(os.RemoveAll(c.dirs[ip]), ShouldBeNil)
	c.start(ip, false)
}

// call sends one HTTP request to the operator API. The status is 0 if there is no
// response.
func (c *deployment) call(ip, method, path, body string) (status int, answer string) {
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", ip, c.port+1, path), bytes.NewReader([]byte(body)))
	So(err, ShouldBeNil)
	resp, err := (&http.Client{Timeout: 2 * time.Second}).Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	raw, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw)
}

// callUntil repeats a call up to 100 times, 100 ms apart, until it returns the
// status.
func (c *deployment) callUntil(status int, ip, method, path, body string) (answer string) {
	got := 0
	for range 100 {
		if got, answer = c.call(ip, method, path, body); got == status {
			return answer
		}
		time.Sleep(100 * time.Millisecond)
	}
	So(got, ShouldEqual, status)
	return answer
}

func routingDocument(version int) string {
	return fmt.Sprintf(`{"version":%d,"extra":"kept","routes":[{"name":"r","host":"h","path_prefix":"/","kind":"idempotent","timeout_ms":100,"service":"s"}],"services":[{"name":"s"}]}`, version)
}

// assertRead checks that every instance returns the document of the given
// version, byte for byte.
func (c *deployment) assertRead(version int) {
	for ip := range c.stops {
		So(c.callUntil(200, ip, "GET", "/config", ""), ShouldEqual, routingDocument(version))
	}
}

func TestDocuments(t *testing.T) {
	Convey("Given three control instances with member changes enabled", t, func() {
		c := newDeployment(t)
		c.callUntil(200, "127.0.0.21", "PUT", "/config", routingDocument(5))

		Convey("every instance returns the newest document byte for byte", func() {
			c.assertRead(5)
			So(c.callUntil(200, "127.0.0.22", "PUT", "/config", routingDocument(9)), ShouldNotBeEmpty)
			c.assertRead(9)
		})
		Convey("an older document or another one of the same version is acknowledged and not stored", func() {
			c.callUntil(200, "127.0.0.22", "PUT", "/config", routingDocument(5))
			c.callUntil(200, "127.0.0.23", "PUT", "/config", routingDocument(4))
			other := strings.Replace(routingDocument(5), "kept", "other", 1)
			c.callUntil(200, "127.0.0.23", "PUT", "/config", other)
			c.assertRead(5)
		})
		Convey("an invalid document is rejected at once and not stored", func() {
			for _, body := range []string{"", "{", routingDocument(7)[:40], strings.Replace(routingDocument(7), `"service":"s"`, `"service":"x"`, 1)} {
				status, _ := c.call("127.0.0.21", "PUT", "/config", body)
				So(status, ShouldEqual, 400)
			}
			c.assertRead(5)
		})
		Convey("a malformed heartbeat is rejected, and valid ones reach the leader through every instance", func() {
			status, _ := c.call("127.0.0.21", "PUT", "/servers/i-1", `{"service":7}`)
			So(status, ShouldEqual, 400)
			for ip := range c.stops {
				c.callUntil(200, ip, "PUT", "/servers/i-1", `{"service":"s","address":"10.0.0.1:1","state":"ready","seq":1,"born":1}`)
				c.callUntil(200, ip, "DELETE", "/servers/i-1", "")
			}
		})
		Convey("every instance can take a zone out of service and back in", func() {
			for ip := range c.stops {
				c.callUntil(200, ip, "POST", "/evacuate/zona-a", "")
				c.callUntil(200, ip, "DELETE", "/evacuate/zona-a", "")
			}
		})
		Convey("an instance that lost its disk rejoins as a new member without loss of documents", func() {
			c.restartEmpty("127.0.0.21")
			c.callUntil(200, "127.0.0.22", "PUT", "/config", routingDocument(6))
			c.assertRead(6)
			// The new member counts towards the quorum, so that one more may fail.
			time.Sleep(time.Second)
			c.restartEmpty("127.0.0.22")
			c.callUntil(200, "127.0.0.23", "PUT", "/config", routingDocument(7))
			c.assertRead(7)
		})
		Convey("an empty list of workspaces stays one in the log, in a snapshot and after a restart", func() {
			empty := strings.Replace(routingDocument(6), `"extra"`, `"tenants":[],"extra"`, 1)
			c.callUntil(200, "127.0.0.21", "PUT", "/config", empty)
			// The leader sends a snapshot to a member whose log ends before its own begins.
			for range 4 {
				c.callUntil(200, "127.0.0.21", "POST", "/evacuate/zona-a", "")
			}
			c.restartEmpty("127.0.0.22")
			for ip := range c.stops {
				So(c.callUntil(200, ip, "GET", "/config", ""), ShouldEqual, empty)
			}
			// The next leader has read the document from its folder or from the snapshot.
			c.stops["127.0.0.21"]()
			c.start("127.0.0.21", false)
			content := c.callUntil(200, "127.0.0.21", "GET", "/config", "")
			d, err := dragonflydocumentjson.Unmarshal([]byte(content))
			So(err, ShouldBeNil)
			So(d.RequiresKey(), ShouldBeTrue)
		})
		Convey("an instance without a quorum serves no reads", func() {
			c.stops["127.0.0.22"]()
			c.stops["127.0.0.23"]()
			for range 20 {
				status, _ := c.call("127.0.0.21", "GET", "/config", "")
				So(status, ShouldNotEqual, 200)
			}
		})
	})
}
