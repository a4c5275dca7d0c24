package dragonflyintegration_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dragonflyrelay.example/dragonflyagent/commands/dragonflyengineagent"
	"dragonflyrelay.example/dragonflyagent/values/dragonflytendsettings"
	"dragonflyrelay.example/dragonflycontrol/commands/dragonflycontrolserver"
	"dragonflyrelay.example/dragonflycontrol/queries/dragonflycontrolsettings"
	"dragonflyrelay.example/dragonflyentry/commands/dragonflyforwarder"
	"dragonflyrelay.example/dragonflyentry/values/dragonflyforwardsettings"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyoperations"
	"dragonflyrelay.example/library/values/dragonflyobservation"
	"dragonflyrelay.example/library/values/dragonflyretrylimits"
	"dragonflyrelay.example/platform/dragonflycontrolapi"
	"dragonflyrelay.example/platform/dragonflydocumentjson"
	"dragonflyrelay.example/platform/dragonflyengineclient"
	"dragonflyrelay.example/platform/dragonflystandin"
	. "github.com/smartystreets/goconvey/convey"
)

// deployment is a forwarding deployment in this process before stand-in engines: control
// instances that change their members, agents and entries.
type deployment struct {
	t          *testing.T
	controlIPs []string // loopback addresses of control, which names its members by them
	port       int      // of control, the next one is for operators
	fleet      *dragonflystandin.Fleet
	controls   map[string]func() // stops the instance at an address
	entries    []string          // addresses for callers
	stopAgent  map[string]func() // by address of the engine
	// runControl starts the control instance at an address and returns a function that
	// stops it. RunAgent starts the agent of the engine at an address. RunEntry starts an
	// entry and returns its address for callers.
	runControl func(ip string) (stop func())
	runAgent   func(engine string) (stop func())
	runEntry   func(name string) (address string)

	mu        sync.Mutex
	upstreams map[string]string // address by id; guarded by mu
	starved   map[string]bool   // whether polls by the agent of the engine at an address time out; guarded by mu
}

// deployments counts the deployments. Each has control addresses of its own, so that
// several run at a time.
var deployments atomic.Int32

// newDeployment starts control, engines with their agents in one domain, and entries, and
// waits until each entry serves.
func newDeployment(t *testing.T, engines, entries int) *deployment {
	d := &deployment{t: t}
	d.runControl, d.runAgent, d.runEntry = d.runControlHere, d.runAgentHere, d.runEntryHere
	d.start(engines, entries)
	return d
}

// start starts the deployment. RunControl, runAgent and runEntry must be set.
func (d *deployment) start(engines, entries int) {
	n := deployments.Add(1)
	for i := range 3 {
		d.controlIPs = append(d.controlIPs, fmt.Sprintf("127.1.%d.%d", n, i+1))
	}
	_, port, err := net.SplitHostPort(freePort(d.t))
	So(err, ShouldBeNil)
	d.port, err = strconv.Atoi(port)
	So(err, ShouldBeNil)
	d.controls, d.stopAgent, d.upstreams = map[string]func(){}, map[string]func(){}, map[string]string{}
	d.starved = map[string]bool{}
	d.fleet = &dragonflystandin.Fleet{}
	for _, ip := range d.controlIPs {
		d.controls[ip] = d.runControl(ip)
	}
	d.fleet.SetControl(d.operatorAddrs())
	So(d.eventually(10*time.Second, func() bool { return d.putDocument() }), ShouldBeTrue)
	for range engines {
		address := d.startEngine("127.0.0.1:0")
		d.stopAgent[address] = d.runAgent(address)
	}
	for i := range entries {
		d.entries = append(d.entries, d.runEntry(fmt.Sprintf("entry-%d", i)))
	}
	for i := range entries {
		So(d.eventually(20*time.Second, func() bool { return d.call(i, fmt.Sprintf("w%d-%d", i, time.Now().UnixNano()), "").status == 200 }), ShouldBeTrue)
	}
}

// run calls f with a context that ends with the test, and returns a function that stops it.
func (d *deployment) run(f func(ctx context.Context) error) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f(ctx) }()
	stopped := false
	stop = func() {
		if cancel(); !stopped {
			stopped = true
			<-ended
		}
	}
	Reset(stop)
	return stop
}

func (d *deployment) controlAddrs() (all []string) {
	for _, ip := range d.controlIPs {
		all = append(all, fmt.Sprintf("%s:%d", ip, d.port))
	}
	return all
}

// operatorAddrs returns the addresses at which control answers operators and upstreams.
func (d *deployment) operatorAddrs() (all []string) {
	for _, ip := range d.controlIPs {
		all = append(all, fmt.Sprintf("%s:%d", ip, d.port+1))
	}
	return all
}

func (d *deployment) runControlHere(ip string) (stop func()) {
	s := &dragonflycontrolserver.Server{
		Settings: dragonflycontrolsettings.Settings{
			Instance: ip, Seeds: d.controlAddrs(), PeerPort: d.port, Listen: fmt.Sprintf("%s:%d", ip, d.port), DebugListen: ip + ":0",
			OperatorListen: fmt.Sprintf("%s:%d", ip, d.port+1), DataFolder: d.t.TempDir(), WithoutKey: true, Bootstrap: true,
		},
		Decode: dragonflydocumentjson.Unmarshal,
		Operator: func(ctx context.Context, l net.Listener, ops dragonflyoperations.Operations) error {
			return dragonflycontrolapi.Serve(ctx, l, ops, 1<<20)
		},
	}
	return d.run(s.Run)
}

// startEngine starts an engine at address and returns its address.
func (d *deployment) startEngine(address string) string {
	return d.startUpstream("llm", "domain-0", address)
}

// startUpstream starts a server of the service at address, an engine if it has a domain, and
// returns its address.
func (d *deployment) startUpstream(service, domain, address string) string {
	if _, port, _ := net.SplitHostPort(address); port == "0" {
		address = freePort(d.t)
	}
	id, err := d.fleet.Start(context.Background(), service, address, "", "zone-0", domain)
	if err != nil {
		d.t.Error(err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.upstreams[id] = address
	return address
}

// address returns the address of the upstream id.
func (d *deployment) address(id string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.upstreams[id]
}

// agentName returns the name of the agent of the engine at an address.
func agentName(engine string) string { return "agent-" + engine[strings.LastIndex(engine, ":")+1:] }

func (d *deployment) runAgentHere(engine string) (stop func()) {
	c, err := dragonflyengineclient.New(engine, 200*time.Millisecond)
	So(err, ShouldBeNil)
	a := &dragonflyengineagent.Agent{
		Settings: dragonflytendsettings.Settings{Name: agentName(engine), Engine: engine, Control: d.controlAddrs()},
		Report: func(ctx context.Context, timeout time.Duration) (dragonflyobservation.Observation, error) {
			if err := d.awaitTimeout(ctx, engine, timeout); err != nil {
				return dragonflyobservation.Observation{}, err
			}
			return c.Report(ctx, timeout)
		},
		Order: c.Order,
		Connect: func(ctx context.Context, timeout time.Duration) error {
			if err := d.awaitTimeout(ctx, engine, timeout); err != nil {
				return err
			}
			return c.Connect(ctx, timeout)
		},
	}
	return d.run(a.Run)
}

// starve makes the polls of the engine at an address by the agent beside it time out, as
// those of an agent that gets hardly any processor time, or undoes that.
func (d *deployment) starve(engine string, starved bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.starved[engine] = starved
}

// awaitTimeout waits for the timeout and returns an error if the agent of the engine is
// starved.
func (d *deployment) awaitTimeout(ctx context.Context, engine string, timeout time.Duration) error {
	d.mu.Lock()
	starved := d.starved[engine]
	d.mu.Unlock()
	if !starved {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	<-ctx.Done()
	return ctx.Err()
}

func (d *deployment) runEntryHere(name string) (address string) {
	bound := make(chan net.Addr, 1)
	s := &dragonflyforwarder.Server{
		Settings: dragonflyforwardsettings.Settings{
			Name: name, Zone: "zone-0", Listen: "127.0.0.1:0", ReadyListen: "127.0.0.1:0", Control: d.controlAddrs(),
			RetryLimits: dragonflyretrylimits.Limits{Ratio: 0.2, Extra: 200, Window: 10 * dragonflyduration.Second},
			Grace:       dragonflyduration.Second,
		},
		Decode:    dragonflydocumentjson.Unmarshal,
		Listening: func(callers, _ net.Addr) { bound <- callers },
	}
	d.run(s.Run)
	return (<-bound).String()
}

func (d *deployment) putDocument() bool {
	req, err := http.NewRequest("PUT", "http://"+d.operatorAddrs()[0]+"/config", bytes.NewReader([]byte(dragonflystandin.Document(1))))
	So(err, ShouldBeNil)
	resp, err := (&http.Client{Timeout: time.Second}).Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == 200
}

// streamAnswer is what a caller has got; status is 0 for a connection without an answer.
type streamAnswer struct {
	status   int
	complete bool
}

// call streams one answer through an entry. Parts is the list of the parts of the prompt.
func (d *deployment) call(entry int, id, parts string) (a streamAnswer) {
	return d.callPath(entry, "", id, parts)
}

// callPath is call with a path of its own, that of the kind if it is "".
func (d *deployment) callPath(entry int, path, id, parts string) (a streamAnswer) {
	req, err := dragonflystandin.Call(context.Background(), d.entries[entry], "stream", id, 3*time.Second)
	if err != nil {
		d.t.Error(err)
		return a
	}
	if path != "" {
		req.URL.Path = path
	}
	req.Header.Set(dragonflystandin.PartsHeader, parts)
	resp, err := (&http.Client{Timeout: 4 * time.Second}).Do(req)
	if err != nil {
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.ReadAll(resp.Body)
	return streamAnswer{status: resp.StatusCode, complete: err == nil && resp.StatusCode == http.StatusOK}
}

// eventually reports whether f returns true within the given time.
func (d *deployment) eventually(within time.Duration, f func() bool) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}
