package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/common/dragonflymachinewait"
	"dragonflyrelay.example/library/common/dragonflyrpcclient"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyresult"
	"dragonflyrelay.example/library/values/dragonflystatus"
	"dragonflyrelay.example/library/values/dragonflyzone"
	. "github.com/smartystreets/goconvey/convey"
)

const key = "internal-key-of-the-tests"

// process is a control instance that runs as a separate process.
type process struct {
	name, settings, folder, debugAddr string
	binary                            string
	client                            *dragonflyrpcclient.Client
	cmd                               *exec.Cmd
}

// newProcesses builds the program and writes the settings of n instances. It does
// not start them.
func newProcesses(t *testing.T, n int) (all []*process) {
	t.Helper()
	dir := t.TempDir()
	binary := filepath.Join(dir, "dragonflycontrol")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	keyFile := filepath.Join(dir, "key")
	if err := os.WriteFile(keyFile, []byte(key), 0o600); err != nil {
		t.Fatal(err)
	}
	addresses := freeAddresses(t, 2*n)
	members := map[string]string{}
	for i := range n {
		members[fmt.Sprint("control-", i+1)] = addresses[i]
	}
	for i := range n {
		p := &process{name: fmt.Sprint("control-", i+1), binary: binary, debugAddr: addresses[n+i]}
		p.folder = filepath.Join(dir, p.name)
		p.settings = p.folder + ".json"
		p.client = &dragonflyrpcclient.Client{Addr: addresses[i], Key: func() string { return key }}
		raw, err := json.Marshal(map[string]any{
			"instance": p.name, "members": members, "listen": addresses[i], "debug-listen": p.debugAddr,
			"data-folder": p.folder, "key-file": keyFile, "timeline": p.folder + ".timeline", "snapshot-entries": 50,
		})
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(p.settings, append([]byte("// Settings of one instance.\n"), raw...), 0o600); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.kill)
		all = append(all, p)
	}
	return all
}

// freeAddresses returns n free addresses. The listeners stay open until all
// addresses are known, so that the addresses differ.
func freeAddresses(t *testing.T, n int) (addresses []string) {
	t.Helper()
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

func (p *process) start(t *testing.T) {
	t.Helper()
	p.cmd = exec.Command(p.binary, "serve", "--settings", p.settings)
	var log bytes.Buffer
	p.cmd.Stderr = &log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
}

// kill sends SIGKILL and waits for the process to end.
func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	_ = p.cmd.Wait()
	p.cmd = nil
}

// terminate sends SIGTERM and returns the error with which the process ends.
func (p *process) terminate() error {
	cmd := p.cmd
	p.cmd = nil
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return cmd.Wait()
}

func (p *process) call(rpc string, req []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	return p.client.Call(ctx, "/dragonfly.control/"+rpc, req)
}

func (p *process) propose(id string, base uint64, zone string) (r dragonflyresult.Result, err error) {
	raw, err := dragonflycodec.MarshalChange(dragonflychange.Change{
		ID: id, Kind: dragonflychange.SetZone, Operator: "op", Base: base, Zone: dragonflyzone.Zone{}.WithName(zone).WithOut(true),
	})
	if err != nil {
		return r, err
	}
	res, err := p.call("Propose", raw)
	if err != nil {
		return r, err
	}
	return dragonflycodec.UnmarshalResult(res)
}

func (p *process) status() (s dragonflystatus.Status, err error) {
	res, err := p.call("Status", nil)
	if err != nil {
		return s, err
	}
	return dragonflycodec.UnmarshalStatus(res)
}

// assertWithin guards that ok returns true within d. The time for which this process or its
// children had no processor does not count: on a busy machine no instance answers meanwhile.
func assertWithin(d time.Duration, ok func() bool) {
	So(dragonflymachinewait.Within(d, ok), ShouldBeTrue)
}

// assertLeader guards that one of the processes is a confirmed leader within d and
// returns it.
func assertLeader(d time.Duration, all ...*process) (leader *process) {
	assertWithin(d, func() bool {
		for _, p := range all {
			if s, err := p.status(); err == nil && s.Leader == p.name && s.ConfirmationAge < 1e9 {
				leader = p
				return true
			}
		}
		return false
	})
	return leader
}

// maxWait is the time that an instance may have waited for the machine during a change whose
// outcome must be known: half of the time without contact after which a leader may step down.
const maxWait = 300 * time.Millisecond

// assertAccepted checks that a change is accepted. Its outcome may be unknown if the instances had
// no processor or disk, and the same change is then sent again.
func assertAccepted(p *process, id string, base uint64, zone string) {
	var r dragonflyresult.Result
	var err error
	dragonflymachinewait.Repeat(maxWait, func() bool {
		r, err = p.propose(id, base, zone)
		return err == nil && r.Outcome == dragonflyresult.Accepted
	})
	So(err, ShouldBeNil)
	So(r.Message, ShouldBeEmpty)
	So(r.Outcome, ShouldEqual, dragonflyresult.Accepted)
	So(r.Version, ShouldEqual, base+1)
}

// assertHistory guards that every instance has exactly the changes 0 to n-1, in
// order.
func assertHistory(n int, all ...*process) {
	assertWithin(5*time.Second, func() bool {
		for _, p := range all {
			s, err := p.status()
			if err != nil || s.Config.Version() != uint64(n) || len(s.History) != n {
				return false
			}
			for i, h := range s.History {
				if h.ChangeID != fmt.Sprint("c", i) {
					return false
				}
			}
		}
		return true
	})
}

func without(all []*process, one *process) (others []*process) {
	for _, p := range all {
		if p != one {
			others = append(others, p)
		}
	}
	return others
}

func TestProcesses(t *testing.T) {
	all := newProcesses(t, 3)

	Convey("No change is lost or repeated when leaders are killed with changes in progress, and another leader is elected within 2 s", t, func() {
		for _, p := range all {
			p.start(t)
		}
		leader := assertLeader(5*time.Second, all...)
		for i := range 200 {
			assertAccepted(leader, fmt.Sprint("c", i), uint64(i), "zona-a")
		}
		next := 200
		for range 3 {
			done := make(chan bool)
			oldLeader := leader
			go func() { // The leader is killed before or after it answers.
				_, _ = oldLeader.propose(fmt.Sprint("c", next), uint64(next), "zona-b")
				close(done)
			}()
			time.Sleep(time.Duration(next%3) * time.Millisecond)
			leader.kill()
			<-done
			killed := leader
			leader = assertLeader(2*time.Second, without(all, killed)...)
			assertAccepted(leader, fmt.Sprint("c", next), uint64(next), "zona-b")
			next++
			So(appendPartialRecord(killed.folder), ShouldBeNil)
			killed.start(t)
			assertHistory(next, all...)
		}
		for ; next < 500; next++ {
			assertAccepted(leader, fmt.Sprint("c", next), uint64(next), "zona-a")
		}
		for _, p := range all {
			p.kill()
		}
		for _, p := range all {
			p.start(t)
		}
		assertLeader(5*time.Second, all...)
		assertHistory(500, all...)
	})
	Convey("SIGTERM ends an instance without an error, and the health pages report its state", t, func() {
		assertWithin(3*time.Second, func() bool { return httpStatus(all[0].debugAddr, "/readyz") == http.StatusOK })
		So(httpStatus(all[0].debugAddr, "/healthz"), ShouldEqual, http.StatusOK)
		for _, p := range all {
			So(p.terminate(), ShouldBeNil)
		}
		raw, err := os.ReadFile(all[0].folder + ".timeline")
		So(err, ShouldBeNil)
		So(string(raw), ShouldContainSubstring, `"event":"change-accepted"`)
	})
	Convey("A damaged log is refused, and the error names the offset", t, func() {
		raw, err := os.ReadFile(filepath.Join(all[1].folder, "log"))
		So(err, ShouldBeNil)
		raw[9] ^= 1
		So(os.WriteFile(filepath.Join(all[1].folder, "log"), append(raw, raw...), 0o600), ShouldBeNil)
		out, err := exec.Command(all[1].binary, "serve", "--settings", all[1].settings).CombinedOutput()
		So(err, ShouldNotBeNil)
		So(string(out), ShouldContainSubstring, "log at offset 0")
	})
	Convey("check-settings lists all invalid settings", t, func() {
		path := filepath.Join(t.TempDir(), "bad.json")
		So(os.WriteFile(path, []byte(`{"instance":"a","members":{"b":"here"},"listen":"127.0.0.1:99999"}`), 0o600), ShouldBeNil)
		out, err := exec.Command(all[0].binary, "check-settings", "--settings", path).CombinedOutput()
		So(err, ShouldNotBeNil)
		for _, fault := range []string{"does not name instance", "members.b", "listen", "data-folder", "key-file"} {
			So(string(out), ShouldContainSubstring, fault)
		}
		out, err = exec.Command(all[0].binary, "check-settings", "--settings", all[0].settings).CombinedOutput()
		So(err, ShouldBeNil)
		So(string(out), ShouldContainSubstring, "is valid")
	})
}

// appendPartialRecord appends the start of a record to a log, as an interrupted
// write at a power failure does.
func appendPartialRecord(folder string) (err error) {
	f, err := os.OpenFile(filepath.Join(folder, "log"), os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write([]byte{0, 0, 1, 0, 9, 9, 9, 9, 1, 2, 3})
	if e := f.Close(); err == nil {
		err = e
	}
	return err
}

func httpStatus(addr, path string) int {
	res, err := http.Get("http://" + addr + path)
	if err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	return res.StatusCode
}
