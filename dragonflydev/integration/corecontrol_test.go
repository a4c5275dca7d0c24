package dragonflyintegration_test

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"dragonflyrelay.example/platform/dragonflystandin"
	. "github.com/smartystreets/goconvey/convey"
)

const (
	// contactTime is the time within which some instance must return the configuration
	// while no more is lost than the deployment bears.
	contactTime = 3 * time.Second
	// syncTime is the time that a new instance gets to catch up before another one is lost.
	syncTime = 4 * time.Second
	// terminationTime is the time in which an instance ends after SIGTERM.
	terminationTime = 8 * time.Second
	// readTimeout bounds one read or change of the configuration.
	readTimeout = time.Second
	// restartDelay is the time after which a killed process is started again.
	restartDelay = 200 * time.Millisecond
)

// controlCore is a deployment of control processes only: the first three members, and spares.
type controlCore struct {
	t       *testing.T
	folder  string              // for settings, data and logs
	network string              // the first three bytes of all addresses
	port    int                 // of control, followed by those of the operators and of the health pages
	seeds   []string            // the first members
	listed  []string            // the seeds that the settings of an instance name from now on
	zones   map[string]string   // availability zone by address; any other instance is in a zone of its own
	running map[string]*process // by address
	version int                 // of the newest acknowledged document
}

// newControlCore starts three control processes and waits until they store a document.
func newControlCore(t *testing.T) *controlCore {
	_, port, err := net.SplitHostPort(freePort(t))
	So(err, ShouldBeNil)
	c := &controlCore{t: t, folder: t.ArtifactDir(), network: fmt.Sprintf("127.3.%d", deployments.Add(1)), running: map[string]*process{}, zones: map[string]string{}}
	c.port, err = strconv.Atoi(port)
	So(err, ShouldBeNil)
	c.seeds = []string{c.ip(1), c.ip(2), c.ip(3)}
	c.listed = c.seeds
	for _, ip := range c.seeds {
		c.start(ip, true)
	}
	c.assertAcknowledged(10*time.Second, c.seeds...)
	return c
}

// ip returns the address of instance n, from 1.
func (c *controlCore) ip(n int) string { return fmt.Sprintf("%s.%d", c.network, n) }

// zone returns the availability zone of the instance at ip.
func (c *controlCore) zone(ip string) string { return cmp.Or(c.zones[ip], "zone-of-"+ip) }

// start starts the instance at ip on the disk that it had, or on an empty one.
func (c *controlCore) start(ip string, bootstrap bool) {
	var seeds []string
	for _, seed := range c.listed {
		seeds = append(seeds, fmt.Sprintf("%s:%d", seed, c.port+1))
	}
	raw, err := json.Marshal(map[string]any{
		"instance": ip, "zone": c.zone(ip), "seeds": seeds, "peer-port": c.port, "listen": fmt.Sprintf("%s:%d", ip, c.port),
		"operator-listen": fmt.Sprintf("%s:%d", ip, c.port+1), "debug-listen": fmt.Sprintf("%s:%d", ip, c.port+2),
		"data-folder": c.disk(ip), "bootstrap": bootstrap, "without-key": true, "snapshot-entries": 64,
	})
	So(err, ShouldBeNil)
	path := filepath.Join(c.folder, ip+".json")
	So(os.WriteFile(path, raw, 0o600), ShouldBeNil)
	c.note("start %s bootstrap %t", ip, bootstrap)
	c.running[ip] = start(c.t, c.folder, "control-"+ip, "dragonflycontrol", "serve", "--settings", path)
}

// restart starts instances again after restartDelay.
func (c *controlCore) restart(ips ...string) {
	time.Sleep(restartDelay)
	for _, ip := range ips {
		c.start(ip, false)
	}
}

// disk returns the data folder of the instance at ip.
func (c *controlCore) disk(ip string) string { return filepath.Join(c.folder, "disk-"+ip) }

// wipe empties the disk of the instance at ip, which does not run.
func (c *controlCore) wipe(ip string) {
	c.note("wipe %s", ip)
	So(os.RemoveAll(c.disk(ip)), ShouldBeNil)
}

// terminate sends SIGTERM to the instance at ip and checks that it ends by itself.
func (c *controlCore) terminate(ip string) {
	c.note("terminate %s", ip)
	So(c.running[ip].terminate(terminationTime), ShouldBeTrue)
}

// kill ends instances at the same moment.
func (c *controlCore) kill(ips ...string) {
	for _, ip := range ips {
		c.note("kill %s", ip)
		c.running[ip].signal(syscall.SIGKILL)
	}
	for _, ip := range ips {
		c.running[ip].kill()
	}
}

// pause stops the instance at ip from running, as a machine that stands still.
func (c *controlCore) pause(ip string) {
	c.note("pause %s", ip)
	c.running[ip].pause()
}

func (c *controlCore) resume(ip string) {
	c.note("resume %s", ip)
	c.running[ip].resume()
}

// note logs what the test does beside the logs of the processes.
func (c *controlCore) note(format string, args ...any) {
	line := time.Now().UTC().Format("15:04:05.000 ") + fmt.Sprintf(format, args...)
	c.t.Log(line)
	f, err := os.OpenFile(filepath.Join(c.folder, "test.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	So(err, ShouldBeNil)
	_, _ = fmt.Fprintln(f, line)
	_ = f.Close()
}

// call calls the instance at ip. Status is 0 without an answer.
func (c *controlCore) call(ip string, port int, method, path, body string) (status int, content []byte) {
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", ip, port, path), bytes.NewReader([]byte(body)))
	So(err, ShouldBeNil)
	resp, err := (&http.Client{Timeout: readTimeout, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0, []byte(err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	if content, err = io.ReadAll(resp.Body); err != nil {
		return 0, []byte(err.Error())
	}
	return resp.StatusCode, content
}

// documentVersion returns the version of the document that the instance at ip returns, or
// its status.
func (c *controlCore) documentVersion(ip string) (version, status int) {
	var document struct {
		Version int `json:"version"`
	}
	status, content := c.call(ip, c.port+1, http.MethodGet, "/config", "")
	if status == http.StatusOK {
		So(json.Unmarshal(content, &document), ShouldBeNil)
	}
	return document.Version, status
}

// leader returns the address of the leader among ips.
func (c *controlCore) leader(ips ...string) (leader string) {
	eventually(c.t, contactTime, "an instance leads", func() bool {
		for _, ip := range ips {
			var vars struct {
				Leading map[string]int `json:"dragonfly-control-leading"`
			}
			status, content := c.call(ip, c.port+2, http.MethodGet, "/debug/vars", "")
			if status == http.StatusOK && json.Unmarshal(content, &vars) == nil && vars.Leading[ip] == 1 {
				leader = ip
			}
		}
		return leader != ""
	})
	return leader
}

// followers returns the seeds without the leader.
func (c *controlCore) followers(leader string) []string { return without(c.seeds, leader) }

// without returns ips without the given one.
func without(ips []string, ip string) (rest []string) {
	for _, other := range ips {
		if other != ip {
			rest = append(rest, other)
		}
	}
	return rest
}

// assertAcknowledged checks that a new document is acknowledged by one of ips within limit.
func (c *controlCore) assertAcknowledged(limit time.Duration, ips ...string) {
	c.version++
	begin, statuses := time.Now(), ""
	for n := 0; time.Since(begin) < limit; n++ {
		status, _ := c.call(ips[n%len(ips)], c.port+1, http.MethodPut, "/config", dragonflystandin.Document(c.version))
		if status == http.StatusOK {
			c.note("document %d is acknowledged", c.version)
			return
		}
		if statuses = fmt.Sprint(status); status == 0 || status >= http.StatusInternalServerError {
			time.Sleep(50 * time.Millisecond)
		}
	}
	So("document not acknowledged, status "+statuses, ShouldBeEmpty)
}

// assertConfigured checks that one of ips returns the acknowledged document within limit,
// and that none returns an older one.
func (c *controlCore) assertConfigured(limit time.Duration, ips ...string) {
	begin := time.Now()
	for {
		var answers []string
		for _, ip := range ips {
			version, status := c.documentVersion(ip)
			if status == http.StatusOK {
				So(version, ShouldEqual, c.version)
				c.note("%s returns document %d after %v", ip, version, time.Since(begin))
				return
			}
			answers = append(answers, fmt.Sprintf("%s: %d", ip, status))
		}
		if time.Since(begin) > limit {
			So(strings.Join(answers, ", "), ShouldEqual, "the document")
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// assertConfiguredEverywhere checks that each of ips returns the acknowledged document within
// limit.
func (c *controlCore) assertConfiguredEverywhere(limit time.Duration, ips ...string) {
	end := time.Now().Add(limit)
	for _, ip := range ips {
		c.assertConfigured(time.Until(end), ip)
	}
}

// replaceWhileStopping starts a spare, stops the member at leaving for good after syncTime, and
// has a document acknowledged.
func (c *controlCore) replaceWhileStopping(spare, leaving string) (remaining []string) {
	c.start(spare, false)
	time.Sleep(syncTime)
	remaining = append(without(c.seeds, leaving), spare)
	c.terminate(leaving)
	c.assertAcknowledged(contactTime, remaining...)
	return remaining
}
