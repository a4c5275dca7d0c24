package dragonflyintegration_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/common/dragonflyrpcclient"
	"dragonflyrelay.example/library/values/dragonflyfollowrequest"
	"dragonflyrelay.example/platform/dragonflystandin"
	. "github.com/smartystreets/goconvey/convey"
)

// restartTime is the time from a crash until the server is back.
const restartTime = 500 * time.Millisecond

// stopLeader stops the leading control instance.
func (d *deployment) stopLeader() {
	payload, err := dragonflycodec.MarshalFollowRequest(dragonflyfollowrequest.Request{Process: "test", Role: dragonflyfollowrequest.Agent})
	if err != nil {
		d.t.Error(err)
		return
	}
	for _, addr := range d.controlAddrs() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		raw, err := (&dragonflyrpcclient.Client{Addr: addr}).Call(ctx, "/dragonfly.control/Follow", payload)
		cancel()
		if err != nil {
			continue
		}
		if resp, err := dragonflycodec.UnmarshalFollowResponse(raw); err == nil && resp.Leads {
			ip, _, _ := net.SplitHostPort(addr)
			d.controls[ip]()
			return
		}
	}
	d.t.Error("no control instance leads")
}

// crashing sends deadly requests of one kind, all alike, and sound ones.
type crashing struct {
	d      *deployment
	kind   string
	mu     sync.Mutex
	served []bool // whether each sound request was answered whole
}

// path is the path of the requests that crash their servers.
func (c *crashing) path() string { return "/" + c.kind + "/deadly" }

// send sends a request to the path.
func (c *crashing) send(entry int, id, path string) (whole bool) {
	req, err := dragonflystandin.Call(context.Background(), c.d.entries[entry], c.kind, id, 3*time.Second)
	if err != nil {
		c.d.t.Error(err)
		return false
	}
	req.URL.Path = path
	req.Header.Set(dragonflystandin.PartsHeader, "a1:40,b1:60")
	resp, err := (&http.Client{Timeout: 4 * time.Second}).Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// run sends a deadly and a sound request through the entries in turn, every 80 ms for the
// given time. The leader of control is stopped after the second crash.
func (c *crashing) run(length time.Duration) {
	var calls sync.WaitGroup
	stopped := false
	for i, end := 0, time.Now().Add(length); time.Now().Before(end); i++ {
		entry := i % len(c.d.entries)
		calls.Go(func() { c.send(entry, fmt.Sprintf("d%d", i), c.path()) })
		calls.Go(func() {
			whole := c.send(entry, fmt.Sprintf("s%d", i), "/"+c.kind+"/sound"+fmt.Sprint(i))
			c.mu.Lock()
			defer c.mu.Unlock()
			c.served = append(c.served, whole)
		})
		if _, crashes := c.d.fleet.Deadly(); len(crashes) >= 2 && !stopped {
			stopped = true
			c.d.stopLeader()
		}
		time.Sleep(80 * time.Millisecond)
	}
	calls.Wait()
}

// assertContained checks that hardly any deadly request reaches a server once the third
// crash is known everywhere, and that sound requests are served.
func (c *crashing) assertContained() {
	arrivals, crashes := c.d.fleet.Deadly()
	So(len(crashes), ShouldBeGreaterThanOrEqualTo, 3)
	late := 0
	for _, at := range arrivals {
		if at.After(crashes[2].Add(spreadTime)) {
			late++
		}
	}
	So(late, ShouldBeLessThanOrEqualTo, lateArrivals)
	c.mu.Lock()
	defer c.mu.Unlock()
	whole := 0
	last := c.served[len(c.served)/2:]
	for _, ok := range last {
		if ok {
			whole++
		}
	}
	So(whole, ShouldBeGreaterThan, len(last)*3/4)
}

// TestCrashingRequest guards against a request that crashes one server after the other, of
// engines and of a plain service, because every entry keeps forwarding it.
func TestCrashingRequest(t *testing.T) {
	for _, kind := range []string{"stream", "read", "once"} {
		Convey("Given a deployment with a request of the kind "+kind+" that crashes servers", t, func() {
			d := newDeployment(t, 9, 4)
			service, domain := "app", ""
			if kind == "stream" {
				service, domain = "llm", "domain-0"
			}
			c := &crashing{d: d, kind: kind}
			if kind != "stream" {
				for range 6 {
					d.startUpstream(service, domain, "127.0.0.1:0")
				}
				So(d.eventually(10*time.Second, func() bool { return c.send(0, fmt.Sprint("w", time.Now().UnixNano()), "/"+kind+"/warm") }), ShouldBeTrue)
			}
			d.fleet.SetDeadlyPath(c.path(), func(id string) {
				time.AfterFunc(restartTime, func() { d.startUpstream(service, domain, d.address(id)) })
			})

			Convey("it stops reaching servers, also without the leader, and sound ones are served", func() {
				c.run(10 * time.Second)
				c.assertContained()
			})
		})
	}
}
