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
	"dragonflyrelay.example/platform/dragonflycontrolpages"
	"dragonflyrelay.example/platform/dragonflydocumentjson"
	. "github.com/smartystreets/goconvey/convey"
)

// freePeerPort is free on the loopback addresses that the tests use.
func freePeerPort() (port int) {
	l, err := net.Listen("tcp", "127.0.0.21:0")
	So(err, ShouldBeNil)
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}

// deployment is a deployment of control instances whose members may change. Each
// has a loopback address of its own, as each has an instance of its own.
type deployment struct {
	port  int
	dirs  map[string]string
	stops map[string]func()
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
	addr := func(n int) string { return fmt.Sprintf("%s:%d", ip, c.port+n) }
	s := &dragonflycontrolserver.Server{
		Settings: dragonflycontrolsettings.Settings{
			Instance: ip, Seeds: []string{"127.0.0.21:1", "127.0.0.22:1", "127.0.0.23:1"}, PeerPort: c.port,
			Listen: addr(0), DebugListen: ip + ":0", OperatorListen: addr(1), DataFolder: c.dirs[ip],
			WithoutKey: true, Bootstrap: bootstrap, SnapshotEntries: 4,
		},
		Decode: dragonflydocumentjson.Unmarshal,
		Operator: func(ctx context.Context, l net.Listener, ops dragonflyoperations.Operations) error {
			return dragonflycontrolpages.Serve(ctx, l, ops, 1<<20)
		},
	}
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

// restartEmpty stops the instance and starts it with an empty disk.
func (c *deployment) restartEmpty(ip string) {
	c.stops[ip]()
	So(os.RemoveAll(c.dirs[ip]), ShouldBeNil)
	c.start(ip, false)
}

// call makes one call of an operator, and returns status 0 without an answer.
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

// callUntil repeats a call until it has the status, for at most 10 s.
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

// assertRead guards that every instance answers with the newest document, as it
// was sent.
func (c *deployment) assertRead(version int) {
	for ip := range c.stops {
		So(c.callUntil(200, ip, "GET", "/config", ""), ShouldEqual, routingDocument(version))
	}
}

func TestDocuments(t *testing.T) {
	Convey("With three instances whose members may change", t, func() {
		c := newDeployment(t)
		c.callUntil(200, "127.0.0.21", "PUT", "/config", routingDocument(5))

		Convey("every instance reads the newest document, as it was sent", func() {
			c.assertRead(5)
			So(c.callUntil(200, "127.0.0.22", "PUT", "/config", routingDocument(9)), ShouldNotBeEmpty)
			c.assertRead(9)
		})
		Convey("an old or repeated document is acknowledged and changes nothing", func() {
			c.callUntil(200, "127.0.0.22", "PUT", "/config", routingDocument(5))
			c.callUntil(200, "127.0.0.23", "PUT", "/config", routingDocument(4))
			other := strings.Replace(routingDocument(5), "kept", "other", 1)
			c.callUntil(200, "127.0.0.23", "PUT", "/config", other)
			c.assertRead(5)
		})
		Convey("an invalid document is refused at once and changes nothing", func() {
			for _, body := range []string{"", "{", routingDocument(7)[:40], strings.Replace(routingDocument(7), `"service":"s"`, `"service":"x"`, 1)} {
				status, _ := c.call("127.0.0.21", "PUT", "/config", body)
				So(status, ShouldEqual, 400)
			}
			c.assertRead(5)
		})
		Convey("damaged heartbeats are refused, and good ones reach the leader from anywhere", func() {
			status, _ := c.call("127.0.0.21", "PUT", "/servers/i-1", `{"service":7}`)
			So(status, ShouldEqual, 400)
			for ip := range c.stops {
				c.callUntil(200, ip, "PUT", "/servers/i-1", `{"service":"s","address":"10.0.0.1:1","state":"ready","seq":1,"born":1}`)
				c.callUntil(200, ip, "DELETE", "/servers/i-1", "")
			}
		})
		Convey("zones are taken out and in by any instance", func() {
			for ip := range c.stops {
				c.callUntil(200, ip, "POST", "/evacuate/zona-a", "")
				c.callUntil(200, ip, "DELETE", "/evacuate/zona-a", "")
			}
		})
		Convey("an emptied instance comes back as a new member, and nothing is lost", func() {
			c.restartEmpty("127.0.0.21")
			c.callUntil(200, "127.0.0.22", "PUT", "/config", routingDocument(6))
			c.assertRead(6)
			// The emptied instance now counts: with it, one more may be lost.
			time.Sleep(time.Second)
			c.restartEmpty("127.0.0.22")
			c.callUntil(200, "127.0.0.23", "PUT", "/config", routingDocument(7))
			c.assertRead(7)
		})
		Convey("an instance without a quorum does not answer reads", func() {
			c.stops["127.0.0.22"]()
			c.stops["127.0.0.23"]()
			for range 20 {
				status, _ := c.call("127.0.0.21", "GET", "/config", "")
				So(status, ShouldNotEqual, 200)
			}
		})
	})
}
