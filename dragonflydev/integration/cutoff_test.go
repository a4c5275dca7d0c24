package dragonflyintegration_test

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"dragonflyrelay.example/dragonflybench/commands/dragonflycutrelay"
	"dragonflyrelay.example/library/common/dragonflypool"
	. "github.com/smartystreets/goconvey/convey"
)

// processDeployment is a deployment whose control and entries are processes, and, in part of
// the cases, its agents. Agents and entries reach control through relays, so that single
// agents can be cut off.
type processDeployment struct {
	*deployment
	folder   string // for settings, data and logs
	relays   []*dragonflycutrelay.Relay
	instance map[string]*process // control, by address
	agents   map[string]*process // by address of the engine
	started  []*process          // entries
}

// newProcessDeployment starts a processDeployment and waits until each entry serves.
func newProcessDeployment(t *testing.T, engines, entries int, agentProcesses bool) *processDeployment {
	d := &processDeployment{deployment: &deployment{t: t}, folder: t.ArtifactDir(), instance: map[string]*process{}, agents: map[string]*process{}}
	d.runControl, d.runAgent, d.runEntry = d.runControlProcess, d.runAgentHere, d.runEntryProcess
	if agentProcesses {
		d.runAgent = d.runAgentProcess
	}
	d.start(engines, entries)
	return d
}

// settings writes the settings of the process name, without the seeds that all processes
// have, and returns the path of the file.
func (d *processDeployment) settings(name, text string) (path string) {
	path = filepath.Join(d.folder, name+".json")
	seeds := `"` + strings.Join(d.controlAddrs(), `","`) + `"`
	So(os.WriteFile(path, fmt.Appendf(nil, `{"seeds": [%s], "peer-port": %d, %s}`, seeds, d.port, text), 0o600), ShouldBeNil)
	return path
}

func (d *processDeployment) runControlProcess(ip string) (stop func()) {
	inner := "127.2" + strings.TrimPrefix(ip, "127.1")
	r := &dragonflycutrelay.Relay{Listen: fmt.Sprintf("%s:%d", ip, d.port), Target: fmt.Sprintf("%s:%d", inner, d.port), Pool: &dragonflypool.Pool{Name: "relay"}}
	d.relays = append(d.relays, r)
	stopRelay := d.run(func(ctx context.Context) error {
		err := r.Run(ctx)
		if err != nil {
			d.t.Error(err)
		}
		return err
	})
	p := start(d.t, d.folder, "control-"+ip, "dragonflycontrol", "serve", "--settings", d.settings("control-"+ip, fmt.Sprintf(
		`"instance": %q, "listen": %q, "debug-listen": %q, "operator-listen": %q, "data-folder": %q, "bootstrap": true, "without-key": true`,
		ip, r.Target, inner+":0", fmt.Sprintf("%s:%d", ip, d.port+1), filepath.Join(d.t.TempDir(), ip))))
	d.instance[ip] = p
	return func() {
		p.kill()
		stopRelay()
	}
}

func (d *processDeployment) runAgentProcess(engine string) (stop func()) {
	name := agentName(engine)
	p := start(d.t, d.folder, name, "dragonflyagent", "tend", "--settings", d.settings(name, fmt.Sprintf(`"name": %q, "engine": %q`, name, engine)))
	d.agents[engine] = p
	return p.kill
}

func (d *processDeployment) runEntryProcess(name string) (address string) {
	address = freePort(d.t)
	p := start(d.t, d.folder, name, "dragonflyentry", "forward", "--settings", d.settings(name, fmt.Sprintf(
		`"name": %q, "zone": "zone-0", "listen": %q, "ready-listen": %q, "repeat-ratio": 0.2, "repeat-extra": 200, "repeat-window-s": 10, "key-lease-ms": 5000, "grace-s": 1`,
		name, address, freePort(d.t))))
	d.started = append(d.started, p)
	return address
}

// ctl runs the operators' command line, which must succeed.
func (d *processDeployment) ctl(args ...string) {
	path := filepath.Join(d.folder, "dragonflyctl.json")
	control := `"` + strings.Join(d.controlAddrs(), `","`) + `"`
	So(os.WriteFile(path, fmt.Appendf(nil, `{"control": [%s], "key": "none", "operator": "test"}`, control), 0o600), ShouldBeNil)
	out, err := exec.Command(filepath.Join(binaryDir, "dragonflyctl"), append(args, "--settings", path)...).CombinedOutput()
	d.note("dragonflyctl %v: %s", args, out)
	So(err, ShouldBeNil)
}

// killAll ends all control instances and entries at one moment and starts them again with their
// settings and disks.
func (d *processDeployment) killAll() {
	d.note("kill control and the entries")
	before := append(d.control(), d.started...)
	var kills sync.WaitGroup
	for _, p := range before {
		kills.Go(p.kill)
	}
	kills.Wait()
	for ip := range d.instance {
		path := filepath.Join(d.folder, "control-"+ip+".json")
		text, err := os.ReadFile(path)
		So(err, ShouldBeNil)
		So(os.WriteFile(path, bytes.ReplaceAll(text, []byte(`"bootstrap": true`), []byte(`"bootstrap": false`)), 0o600), ShouldBeNil)
	}
	for _, p := range before {
		start(d.t, d.folder, p.name, p.program, p.args...)
	}
}

// killAgent ends the agent of the engine id.
func (d *processDeployment) killAgent(id string) {
	d.note("kill %s", agentName(d.address(id)))
	d.stopAgent[d.address(id)]()
}

// agent returns the process of the agent of the engine id.
func (d *processDeployment) agent(id string) *process { return d.agents[d.address(id)] }

// engines returns the ids of all engines.
func (d *processDeployment) engines() (ids []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Collect(maps.Keys(d.upstreams))
}

// control returns all control instances.
func (d *processDeployment) control() []*process { return slices.Collect(maps.Values(d.instance)) }

// note logs what the test does and sees, also beside the logs of the processes.
func (d *processDeployment) note(format string, args ...any) {
	line := time.Now().UTC().Format("15:04:05.000 ") + fmt.Sprintf(format, args...)
	d.t.Log(line)
	f, err := os.OpenFile(filepath.Join(d.folder, "test.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		d.t.Error(err)
		return
	}
	_, _ = fmt.Fprintln(f, line)
	_ = f.Close()
}

// cutOff cuts the machines of the engines off from control, or undoes that: neither their
// heartbeats nor what their agents send arrives. Callers reach the engines.
func (d *processDeployment) cutOff(cutOff bool, ids ...string) {
	for _, id := range ids {
		d.fleet.CutOff(id, cutOff)
		d.cutOffAgent(cutOff, id)
	}
}

// cutOffAgent cuts only the agent of the engine id off from control, or undoes that.
func (d *processDeployment) cutOffAgent(cutOff bool, id string) {
	d.note("cut off %t: %s at %s", cutOff, id, d.address(id))
	for _, r := range d.relays {
		r.SetCutOff(agentName(d.address(id)), cutOff)
	}
}

// cutOffFor cuts the machines off for the given time.
func (d *processDeployment) cutOffFor(length time.Duration, ids ...string) {
	d.cutOff(true, ids...)
	time.Sleep(length)
	d.cutOff(false, ids...)
}

// pauseFor stops the processes for the given time, as a whole machine that stands still.
func (d *processDeployment) pauseFor(length time.Duration, all ...*process) {
	for _, p := range all {
		d.note("stop %s", p.name)
		p.pause()
	}
	time.Sleep(length)
	for _, p := range all {
		d.note("continue %s", p.name)
		p.resume()
	}
}

// callers sends streams through the entries until the returned function is called, which
// returns how many of all were answered whole.
func (d *processDeployment) callers() (end func() (whole, all int)) {
	ctx, cancel := context.WithCancel(context.Background())
	Reset(cancel)
	var mu sync.Mutex
	var calls sync.WaitGroup
	counts := [2]int{}
	calls.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			calls.Go(func() {
				whole := d.call(n%len(d.entries), fmt.Sprint("c", n), "").complete
				mu.Lock()
				defer mu.Unlock()
				counts[1]++
				if whole {
					counts[0]++
				}
			})
			time.Sleep(callInterval)
		}
	})
	return func() (whole, all int) {
		cancel()
		calls.Wait()
		return counts[0], counts[1]
	}
}
