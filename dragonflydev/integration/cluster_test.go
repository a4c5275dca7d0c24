package dragonflyintegration_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"testing"
	"time"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyrpcclient"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyclass"
	"dragonflyrelay.example/library/values/dragonflyresult"
	"dragonflyrelay.example/library/values/dragonflyservice"
	"dragonflyrelay.example/library/values/dragonflystatus"
	"dragonflyrelay.example/library/values/dragonflytable"
	"dragonflyrelay.example/library/values/dragonflywatch"
	"dragonflyrelay.example/library/values/dragonflyworkspace"
)

const (
	internalKey  = "integration-key"
	workspaceKey = "caller-key"
	model        = "standin"
)

// options describe a cluster. newCluster sets defaults for zero fields.
type options struct {
	zones                    []string
	groupsPerZone, groupSize int
	controls, entries        int    // number of processes
	spares                   int    // engines per zone beyond those of its groups
	loadTime, tokenTime      string // durations with units, such as "200ms"
	service                  bool   // run the plain service "orders" with one instance
	ignoreFencing            bool   // engines accept orders with an old fencing number
}

// instance is an upstream with its agent.
type instance struct {
	name, zone              string
	agentAddr, upstreamAddr string
	announceAddr            string
	agent, upstream         *process
	agentArgs, upstreamArgs []string
}

// cluster is a system of separate processes.
type cluster struct {
	t            *testing.T
	dir          string
	opts         options
	controls     []*process
	controlAddrs []string
	entries      []*process
	entryAddrs   []string
	instances    []*instance
	version      uint64
}

// newCluster starts a cluster and returns once all its groups are ready.
func newCluster(t *testing.T, o options) *cluster {
	t.Helper()
	if len(o.zones) == 0 {
		o.zones = []string{"zona-a", "zona-b"}
	}
	o.groupsPerZone, o.groupSize = max(o.groupsPerZone, 1), max(o.groupSize, 2)
	o.controls, o.entries = max(o.controls, 1), max(o.entries, 1)
	if o.loadTime == "" {
		o.loadTime = "200ms"
	}
	if o.tokenTime == "" {
		o.tokenTime = "5ms"
	}
	c := &cluster{t: t, dir: t.TempDir(), opts: o}
	c.writeFile("internal-key", internalKey)
	c.startControls()
	for _, zone := range o.zones {
		for i := range o.groupsPerZone*o.groupSize + o.spares {
			c.startEngine(fmt.Sprintf("%s-engine-%d", zone, i+1), zone)
		}
	}
	if o.service {
		c.startService("orders-1", o.zones[0])
	}
	for i := range o.entries {
		c.startEntry(fmt.Sprintf("entry-%d", i+1), o.zones[i%len(o.zones)])
	}
	c.configure()
	c.waitReady(len(o.zones) * o.groupsPerZone)
	return c
}

func (c *cluster) path(name string) string { return filepath.Join(c.dir, name) }

func (c *cluster) writeFile(name, text string) string {
	c.t.Helper()
	if err := os.WriteFile(c.path(name), []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return c.path(name)
}

func (c *cluster) writeSettings(name string, v map[string]any) string {
	c.t.Helper()
	raw, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		c.t.Fatal(err)
	}
	return c.writeFile(name+".json", "// Written by a test.\n"+string(raw))
}

func (c *cluster) startControls() {
	members := map[string]string{}
	for i := range c.opts.controls {
		addr := freePort(c.t)
		c.controlAddrs = append(c.controlAddrs, addr)
		members[fmt.Sprintf("control-%d", i+1)] = addr
	}
	for i := range c.opts.controls {
		name := fmt.Sprintf("control-%d", i+1)
		c.writeSettings(name, map[string]any{
			"instance": name, "members": members, "listen": c.controlAddrs[i], "debug-listen": freePort(c.t),
			"data-folder": c.path(name + "-data"), "timeline": c.path(name + ".timeline"),
			"key-file": c.path("internal-key"),
		})
		c.controls = append(c.controls, c.startControl(i))
	}
}

func (c *cluster) startControl(i int) *process {
	name := fmt.Sprintf("control-%d", i+1)
	return start(c.t, c.dir, name, "dragonflycontrol", "serve", "--settings", c.path(name+".json"))
}

func (c *cluster) startAgent(in *instance) {
	in.agent = start(c.t, c.dir, in.name+"-agent", "dragonflyagent", in.agentArgs...)
}

func (c *cluster) newInstance(name, zone string) *instance {
	in := &instance{name: name, zone: zone, agentAddr: freePort(c.t), upstreamAddr: freePort(c.t)}
	announce := freePort(c.t)
	settings := c.writeSettings(name+"-agent", map[string]any{
		"instance": name, "region": "local", "zone": zone, "domain": zone + "-fabric",
		"listen": in.agentAddr, "upstream-listen": announce, "control": c.controlAddrs,
		"key-file": c.path("internal-key"), "timeline": c.path(name + "-agent.timeline"),
	})
	in.agentArgs = []string{"serve", "--settings", settings}
	in.announceAddr = announce
	c.instances = append(c.instances, in)
	c.startAgent(in)
	return in
}

func (c *cluster) startEngine(name, zone string) *instance {
	in := c.newInstance(name, zone)
	settings := c.upstreamSettings(in, map[string]any{
		"model": model, "accelerators": 1, "load-time": c.opts.loadTime,
		"checks-fencing": !c.opts.ignoreFencing, "batch": map[string]any{"token-time": c.opts.tokenTime},
	})
	in.upstreamArgs = []string{"engine", "--settings", settings}
	c.startUpstream(in)
	return in
}

func (c *cluster) startService(name, zone string) *instance {
	in := c.newInstance(name, zone)
	in.upstreamArgs = []string{"service", "--settings", c.upstreamSettings(in, map[string]any{"service": "orders"})}
	c.startUpstream(in)
	return in
}

// upstreamSettings writes a settings file with the settings that engines and
// services share and those in more, and returns its path.
func (c *cluster) upstreamSettings(in *instance, more map[string]any) string {
	v := map[string]any{
		"instance": in.name, "listen": in.upstreamAddr, "agent": in.announceAddr,
		"zone": in.zone, "region": "local", "domain": in.zone + "-fabric",
	}
	maps.Copy(v, more)
	return c.writeSettings(in.name, v)
}

func (c *cluster) startUpstream(in *instance) {
	in.upstream = start(c.t, c.dir, in.name, "dragonflybench", in.upstreamArgs...)
}

func (c *cluster) startEntry(name, zone string) {
	addr := freePort(c.t)
	settings := c.writeSettings(name, map[string]any{
		"name": name, "listen": addr, "region": "local", "zone": zone, "control": c.controlAddrs,
		"key-file": c.path("internal-key"), "timeline": c.path(name + ".timeline"),
	})
	c.entries = append(c.entries, start(c.t, c.dir, name, "dragonflyentry", "serve", "--settings", settings))
	c.entryAddrs = append(c.entryAddrs, addr)
}

// instanceNamed returns the instance with a name.
func (c *cluster) instanceNamed(name string) *instance {
	for _, in := range c.instances {
		if in.name == name {
			return in
		}
	}
	c.t.Fatalf("no instance %s", name)
	return nil
}

// call calls the control instances in turn and returns the first answer.
func (c *cluster) call(rpc string, req []byte) (res []byte, err error) {
	for _, addr := range c.controlAddrs {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		client := &dragonflyrpcclient.Client{Addr: addr, Key: func() string { return internalKey }}
		res, err = client.Call(ctx, rpc, req)
		cancel()
		client.Close()
		if err == nil {
			return res, nil
		}
	}
	return nil, err
}

// propose proposes a change based on the latest version that this test has seen
// and retries it, with the same id, until it is accepted.
func (c *cluster) propose(ch dragonflychange.Change) dragonflyresult.Result {
	c.t.Helper()
	ch.Operator, ch.At, ch.Base = "test", time.Now().UnixNano(), c.version
	if ch.ID == "" {
		ch.ID = fmt.Sprintf("change-%d", time.Now().UnixNano())
	}
	raw, err := dragonflycodec.MarshalChange(ch)
	if err != nil {
		c.t.Fatal(err)
	}
	var res dragonflyresult.Result
	eventually(c.t, 15*time.Second, fmt.Sprintf("change %s accepted", ch.ID), func() bool {
		got, err := c.call("/dragonfly.control/Propose", raw)
		if err != nil {
			return false
		}
		if res, err = dragonflycodec.UnmarshalResult(got); err != nil {
			c.t.Fatal(err)
		}
		if res.Outcome == dragonflyresult.Conflict || res.Outcome == dragonflyresult.Invalid {
			c.t.Fatalf("change %s refused: %+v", ch.ID, res)
		}
		return res.Outcome == dragonflyresult.Accepted
	})
	c.version = res.Version
	return res
}

func (c *cluster) configure() {
	c.t.Helper()
	hash := sha256.Sum256([]byte(workspaceKey))
	c.propose(dragonflychange.Change{Kind: dragonflychange.SetGroupSize, GroupSize: c.opts.groupSize})
	c.propose(dragonflychange.Change{Kind: dragonflychange.SetClass, Class: dragonflyclass.Class{}.
		WithName("interactive").WithAnswered(990).WithComplete(1000).
		WithFirstToken(410 * dragonflyduration.Millisecond).WithGap(25 * dragonflyduration.Millisecond)})
	c.propose(dragonflychange.Change{Kind: dragonflychange.SetWorkspace, Workspace: dragonflyworkspace.Workspace{}.
		WithName("local").WithKeyHash(hex.EncodeToString(hash[:])).WithClass("interactive")})
	c.propose(dragonflychange.Change{Kind: dragonflychange.SetService, Service: dragonflyservice.Service{}.
		WithName("orders").WithIdempotentMethods([]string{"GET"})})
}

func (c *cluster) table() (table dragonflytable.Table, err error) {
	raw, err := dragonflycodec.MarshalWatch(dragonflywatch.Watch{Entry: "test"})
	if err != nil {
		return table, err
	}
	if raw, err = c.call("/dragonfly.control/Watch", raw); err != nil {
		return table, err
	}
	return dragonflycodec.UnmarshalTable(raw)
}

func (c *cluster) status() (s dragonflystatus.Status, err error) {
	raw, err := c.call("/dragonfly.control/Status", []byte{})
	if err != nil {
		return s, err
	}
	return dragonflycodec.UnmarshalStatus(raw)
}

// readyGroups counts the groups that accept requests.
func (c *cluster) readyGroups() int {
	table, err := c.table()
	if err != nil {
		return 0
	}
	n := 0
	for _, r := range table.Routes {
		if r.Ready && r.Service == "" {
			n++
		}
	}
	return n
}

func (c *cluster) waitReady(groups int) time.Duration {
	c.t.Helper()
	return eventually(c.t, 20*time.Second, fmt.Sprintf("%d groups ready", groups), func() bool {
		return c.readyGroups() >= groups
	})
}
