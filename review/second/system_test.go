package dragonflysecond

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

// Sizes of the machines of a small deployment, and its bounds.
const (
	frontMB     = 284
	frontFiles  = 4100
	heartbeatMS = 1200
	stallMS     = 6000
	startTime   = 30 * time.Second
)

// system is a deployment of the project's programs on loopback addresses.
type system struct {
	*record
	folder    string
	processes []*process
	control   []string // addresses for operators and servers
	cores     []*core
	seeds     []string
	ports     [4]int // front, ready, control and the first one between machines
	hosts     int
	stopping  []func()
}

// process is one running program.
type process struct {
	name  string
	cmd   *exec.Cmd
	done  chan struct{}
	again func() *process // starts the program again
}

// must ends the case, which cannot run, if err is not nil.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// host returns the next loopback address of the deployment.
func (s *system) host() string {
	s.hosts++
	return fmt.Sprintf("127.%d.%d.%d", 16+os.Getpid()>>8&127, os.Getpid()&255, s.hosts)
}

// choosePorts chooses ports that are free on the loopback addresses.
func (s *system) choosePorts() {
	for i := range s.ports {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must(err)
		defer func() { _ = l.Close() }()
		s.ports[i] = l.Addr().(*net.TCPAddr).Port
	}
}

func address(host string, port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }

// startControl starts three machines of the core with empty disks.
func (s *system) startControl() {
	s.choosePorts()
	var hosts []string
	for range 3 {
		h := s.host()
		hosts = append(hosts, h)
		s.control = append(s.control, address(h, s.ports[2]))
	}
	s.seeds = s.control
	for i, h := range hosts {
		c := &core{name: fmt.Sprintf("core-%d", i+1), host: h, disk: filepath.Join(s.folder, "disk-"+h)}
		s.cores = append(s.cores, c)
		s.startCore(c, true)
	}
}

// core is one machine of the core.
type core struct {
	*process
	name, host, disk string
}

// startCore starts the program of a machine of the core. Bootstrap is true at the first start
// of the deployment only.
func (s *system) startCore(c *core, bootstrap bool) {
	must(os.MkdirAll(c.disk, 0o700))
	settings := s.settings("deploy/control.json", c.name, c.host, c.disk, "", bootstrap)
	c.process = s.start(c.name, 0, false, "target/dragonflycontrol", "serve", "--settings", settings,
		fmt.Sprintf("--group-stall-ms=%d", stallMS), "--zone=zone-1", fmt.Sprintf("--heartbeat-ms=%d", heartbeatMS))
}

// loseDisk kills the program of a machine of the core, empties its disk and starts it again
// at its old address.
func (s *system) loseDisk(c *core) {
	must(c.cmd.Process.Kill())
	<-c.done
	must(os.RemoveAll(c.disk))
	s.startCore(c, false)
}

// isReady reports whether the machine of the core says that it follows a leader.
func (s *system) isReady(c *core) bool {
	return status(http.MethodGet, "http://"+address(c.host, s.ports[3]+1)+"/readyz", "") == http.StatusOK
}

// startEntry starts a front machine with one core and returns its process and the address
// for clients.
func (s *system) startEntry(name string) (p *process, front string) {
	h := s.host()
	settings := s.settings("deploy/entry.json", name, h, "", "", true)
	p = s.start(name, frontFiles, true, "target/dragonflyentry", "forward", "--settings", settings)
	s.await("the entry is ready", func() bool {
		return status(http.MethodGet, "http://"+address(h, s.ports[1])+"/readyz", "") == http.StatusOK
	})
	return p, address(h, s.ports[0])
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)

// settings fills in a template of the deploy file and returns the path of the result.
func (s *system) settings(template, name, host, data, engine string, bootstrap bool) (path string) {
	raw, err := os.ReadFile(template)
	must(err)
	values := map[string]any{
		"node_name": name, "zone": "zone-1", "ip": host, "seeds": s.seeds, "data_dir": data, "bootstrap": bootstrap,
		"listen.front": address(host, s.ports[0]), "listen.ready": address(host, s.ports[1]), "listen.control": address(host, s.ports[2]),
		"port_range.0": s.ports[3], "port_range.1": s.ports[3] + 1, "limits.memory_mb": frontMB,
		"app": engine, "bounds.retry_ratio": 0.2, "bounds.retry_extra": 198, "bounds.retry_window_s": 10, "bounds.revoke_ms": 5000, "bounds.grace_s": 8,
	}
	text := placeholder.ReplaceAllStringFunc(string(raw), func(m string) string {
		parts := placeholder.FindStringSubmatch(m)
		v, ok := values[parts[1]]
		if !ok {
			panic("the template asks for " + parts[1])
		}
		if parts[2] == "" {
			return fmt.Sprint(v)
		}
		encoded, err := json.Marshal(v)
		must(err)
		return string(encoded)
	})
	path = filepath.Join(s.folder, name+".json")
	must(os.WriteFile(path, []byte(text), 0o600))
	return path
}

// start starts a program. With files above 0 it has that many descriptors, and with oneCore
// it sees one processor, as on the machines of the platform.
func (s *system) start(name string, files int, oneCore bool, program string, args ...string) *process {
	p := &process{name: name, done: make(chan struct{})}
	first, firstArgs := program, args
	p.again = func() *process { return s.start(name, files, oneCore, first, firstArgs...) }
	out, err := os.OpenFile(filepath.Join(s.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	if files > 0 {
		args = append([]string{"-c", fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, files), program}, args...)
		program = "/bin/sh"
	}
	p.cmd = exec.Command(program, args...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	if oneCore {
		onLastCore(func() { err = p.cmd.Start() })
	} else {
		err = p.cmd.Start()
	}
	must(err)
	s.note("started %s, process %d", name, p.cmd.Process.Pid)
	go func() {
		_ = p.cmd.Wait()
		_ = out.Close()
		close(p.done)
	}()
	s.processes = append(s.processes, p)
	return p
}

// onLastCore calls f on a thread that is bound to the last processor that this process may
// use. Processes that f starts are bound to it as well.
func onLastCore(f func()) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		runtime.LockOSThread() // The thread ends with the goroutine.
		var set [128]byte
		n, _, _ := syscall.RawSyscall(syscall.SYS_SCHED_GETAFFINITY, 0, uintptr(len(set)), uintptr(unsafe.Pointer(&set)))
		for i := int(n) - 1; i >= 0; i-- {
			if set[i] == 0 {
				continue
			}
			last := byte(1)
			for b := set[i]; b > 1; b >>= 1 {
				last <<= 1
			}
			set = [128]byte{}
			set[i] = last
			break
		}
		_, _, _ = syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, 0, n, uintptr(unsafe.Pointer(&set)))
		f()
	}()
	<-ended
}

// killAll kills all processes of the system at the same moment and starts them again a second
// later. The disks of the core stay.
func (s *system) killAll() {
	all := s.processes
	s.processes = nil
	for _, p := range all {
		_ = p.cmd.Process.Kill()
	}
	for _, p := range all {
		<-p.done
	}
	time.Sleep(time.Second)
	for _, c := range s.cores {
		s.settings("deploy/control.json", c.name, c.host, c.disk, "", false)
	}
	for _, p := range all {
		p.again()
	}
}

// stop ends all that the case has started.
func (s *system) stop() {
	for _, f := range s.stopping {
		f()
	}
	for _, p := range s.processes {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

// lives reports whether the process has not ended.
func (p *process) lives() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// memoryMB returns the memory that the process itself has in use, in MiB: its anonymous
// pages, without those of its program file.
func (p *process) memoryMB() int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(raw), "RssAnon:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kb, _ := strconv.Atoi(fields[0])
	return kb >> 10
}

// watchMemory samples the memory of p until the returned function is called, which returns
// the peak in MiB.
func (s *system) watchMemory(p *process) (peak func() int) {
	stop, ended := make(chan struct{}), make(chan struct{})
	highest := 0
	go func() {
		defer close(ended)
		noted := time.Now()
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			now := p.memoryMB()
			highest = max(highest, now)
			if time.Since(noted) >= 2*time.Second {
				s.note("memory of %s: %d MiB of %d, highest %d", p.name, now, frontMB, highest)
				noted = time.Now()
			}
		}
	}()
	var once sync.Once
	return func() int {
		once.Do(func() { close(stop) })
		<-ended
		return highest
	}
}

// await waits until ok returns true, and ends the case if that takes too long.
func (s *system) await(what string, ok func() bool) {
	for end := time.Now().Add(startTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return
		}
	}
	panic("not in time: " + what)
}

var calls = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// status returns the status of a call of the platform, an operator or a server, 0 if there
// was no answer.
func status(method, url, body string) int {
	req, err := http.NewRequest(method, url, bytes.NewReader([]byte(body)))
	must(err)
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := calls.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// configure sends a config as the operator, to one machine after the other until one accepts
// it.
func (s *system) configure(config string) {
	next := 0
	s.await("the config is accepted", func() bool {
		next++
		return status(http.MethodPut, "http://"+s.control[next%len(s.control)]+"/config", config) == http.StatusOK
	})
	s.note("config accepted")
}
