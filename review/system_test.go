package dragonflyreview_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Outcomes of a case, which are exit codes.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// Bounds that the settings name, as in the sheets of the users' pages.
const (
	contact     = 3 * time.Second
	evacuate    = 5 * time.Second
	maxStretch  = 5 * time.Second
	drainBound  = 2 * time.Second
	heartbeat   = 1200 * time.Millisecond
	stallTime   = 6 * time.Second
	formTime    = 300 * time.Millisecond
	rejoinTime  = 200 * time.Millisecond
	callTimeout = time.Second
)

// apiKey is the key of the only tenant.
const apiKey = "n2ctnfzs989anu6wsjnb"

// host is the host of all routes.
const host = "ficu95.example"

// setupError ends a case that cannot run.
type setupError struct{ text string }

func cannot(format string, args ...any) { panic(setupError{fmt.Sprintf(format, args...)}) }

// system is one small deployment: processes of the project, and stand-ins for the servers,
// the clients and the operator.
type system struct {
	folder  string
	trouble bool
	net     int // second octet of the addresses
	ports   struct{ peer, metrics, control, front, ready, app int }

	mu        sync.Mutex
	record    *os.File
	began     time.Time
	processes map[string]*process
	servers   map[string]*server
	requests  int // sent by clients so far
	answers   map[string]int
	loads     bool // the first request has run, so that loads take their full time
	models    map[string]model
}

// process is one process of the project.
type process struct {
	name string
	args []string
	cmd  *exec.Cmd
	done chan struct{}
}

// newSystem prepares a deployment whose record is written to the case's folder.
func newSystem(record string) *system {
	s := &system{
		began: time.Now(), processes: map[string]*process{}, servers: map[string]*server{}, answers: map[string]int{},
		trouble: os.Getenv("TROUBLE") != "0", net: 30 + os.Getpid()%200, models: map[string]model{},
	}
	var err error
	if s.folder, err = os.MkdirTemp("", "dragonfly-review"); err != nil {
		cannot("temporary folder: %v", err)
	}
	if s.record, err = os.Create(record); err != nil {
		cannot("record: %v", err)
	}
	for _, port := range []*int{&s.ports.peer, &s.ports.metrics, &s.ports.control, &s.ports.front, &s.ports.ready, &s.ports.app} {
		l, err := net.Listen("tcp", s.ip("control", 0)+":0")
		if err != nil {
			cannot("free port: %v", err)
		}
		*port = l.Addr().(*net.TCPAddr).Port
		defer func() { _ = l.Close() }()
	}
	s.note("start, with the disruption: %t", s.trouble)
	return s
}

// note writes a line to the record.
func (s *system) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%9.3f  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// end stops all processes and servers.
func (s *system) end() {
	for _, p := range s.processes {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	for _, u := range s.servers {
		u.exit()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	}
	s.note("end")
	_ = s.record.Close()
}

// ip returns the address of machine n of a class.
func (s *system) ip(class string, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", s.net, map[string]int{"control": 1, "front": 2, "side": 3, "plain": 4}[class], n+1)
}

func at(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// zone returns the zone of machine n of a class.
func zone(n int) string { return []string{"zona-a", "zona-b", "zona-c"}[n%3] }

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)

// settings fills a template of the deploy file in.
func (s *system) settings(template string, fields map[string]any) []byte {
	raw, err := os.ReadFile(template)
	if err != nil {
		cannot("template: %v", err)
	}
	return placeholder.ReplaceAllFunc(raw, func(match []byte) []byte {
		m := placeholder.FindSubmatch(match)
		v, ok := fields[string(m[1])]
		if !ok {
			cannot("%s needs %s", template, m[1])
		}
		if len(m[2]) > 0 {
			text, err := json.Marshal(v)
			if err != nil {
				cannot("%v", err)
			}
			return text
		}
		return []byte(fmt.Sprint(v))
	})
}

// seeds lists the control addresses.
func (s *system) seeds() (all []string) {
	for n := range 3 {
		all = append(all, at(s.ip("control", n), s.ports.control))
	}
	return all
}

// start writes the settings of a process and starts it with the command of its role.
func (s *system) start(name, program, verb, template string, fields map[string]any) {
	fields["node_name"], fields["seeds"] = name, s.seeds()
	fields["port_range.0"], fields["port_range.1"] = s.ports.peer, s.ports.metrics
	path := filepath.Join(s.folder, name+".json")
	if err := os.WriteFile(path, s.settings(template, fields), 0o600); err != nil {
		cannot("settings: %v", err)
	}
	p := &process{name: name, args: []string{"target/" + program, verb, "--settings", path}}
	s.processes[name] = p
	s.run(p)
}

// run starts the process p.
func (s *system) run(p *process) {
	log, err := os.OpenFile(filepath.Join(s.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannot("log: %v", err)
	}
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	if err := p.cmd.Start(); err != nil {
		cannot("%v", err)
	}
	p.done = make(chan struct{})
	cmd, done := p.cmd, p.done
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
}

func (s *system) startControl(n int) {
	ip := s.ip("control", n)
	s.start(fmt.Sprintf("control-%d", n), "dragonflycontrol", "serve", "deploy/control.json", map[string]any{
		"ip": ip, "listen.control": at(ip, s.ports.control), "data_dir": filepath.Join(s.folder, fmt.Sprintf("disk-%d", n)), "bootstrap": true,
	})
}

func (s *system) startFront(n int) {
	ip := s.ip("front", n)
	s.start(fmt.Sprintf("front-%d", n), "dragonflyentry", "forward", "deploy/entry.json", map[string]any{
		"ip": ip, "zone": zone(n), "listen.front": at(ip, s.ports.front), "listen.ready": at(ip, s.ports.ready),
		"bounds.retry_ratio": 0.2, "bounds.retry_extra": 198, "bounds.retry_window_s": 10, "bounds.revoke_ms": 5000, "bounds.grace_s": 8,
		"limits.memory_mb": 284,
	})
}

func (s *system) startAgent(n int) {
	ip := s.ip("side", n)
	s.start(fmt.Sprintf("agent-%d", n), "dragonflyagent", "tend", "deploy/agent.json", map[string]any{
		"ip": ip, "app": at(ip, s.ports.app), "limits.memory_mb": 152,
	})
}

// signal sends a signal to a process of the deployment.
func (s *system) signal(name string, sig syscall.Signal) {
	s.note("%s gets %v", name, sig)
	if err := s.processes[name].cmd.Process.Signal(sig); err != nil {
		cannot("signal %s: %v", name, err)
	}
}

// leader returns the number of the control machine that says that it leads, -1 if there
// is none among those that are asked.
func (s *system) leader() int {
	for n := range 3 {
		resp, err := (&http.Client{Timeout: 300 * time.Millisecond}).Get("http://" + at(s.ip("control", n), s.ports.metrics) + "/debug/vars")
		if err != nil {
			continue
		}
		var vars struct {
			Leading map[string]int `json:"dragonfly-control-leading"`
		}
		err = json.NewDecoder(resp.Body).Decode(&vars)
		_ = resp.Body.Close()
		if err == nil && vars.Leading[s.ip("control", n)] == 1 {
			return n
		}
	}
	return -1
}

// awaitLeader waits until a control machine other than those in not leads.
func (s *system) awaitLeader(not ...int) int {
	found := -1
	s.await(10*time.Second, "a leader", func() bool {
		found = s.leader()
		for _, n := range not {
			if n == found {
				return false
			}
		}
		return found >= 0
	})
	s.note("control-%d leads", found)
	return found
}

// await waits until f returns true.
func (s *system) await(within time.Duration, what string, f func() bool) {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return
		}
	}
	cannot("waited %v for %s", within, what)
}

// operator sends an order to the control machines in the given order, each for a second at
// most, until one of them acknowledges it.
func (s *system) operator(method, path, body string, nodes ...int) time.Time {
	for round := range 4 {
		for _, n := range nodes {
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			req, err := http.NewRequestWithContext(ctx, method, "http://"+at(s.ip("control", n), s.ports.control)+path, strings.NewReader(body))
			if err != nil {
				cannot("%v", err)
			}
			if body != "" {
				req.Header.Set("Content-Type", "application/json")
			}
			req.Close = true
			s.note("operator: %s %s to control-%d", method, path, n)
			resp, err := http.DefaultClient.Do(req)
			status := 0
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				status = resp.StatusCode
			}
			cancel()
			if status == http.StatusOK {
				s.note("operator: control-%d acknowledges %s %s", n, method, path)
				return time.Now()
			}
			s.note("operator: no acknowledgement from control-%d: status %d, %v", n, status, err)
			if status == 400 || status == 409 || status == 412 || status == 413 || status == 422 {
				cannot("%s %s is refused with %d", method, path, status)
			}
		}
		time.Sleep(time.Duration(round+1) * 100 * time.Millisecond)
	}
	cannot("%s %s is not acknowledged", method, path)
	return time.Time{}
}

// configText returns a config with a route for each kind of request.
func configText(version int, models string) string {
	route := func(name, kind, service, rest string) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"path_prefix":"/%s/","kind":%q,"service":%q,"priority":1,"public":false,%s}`, name, host, name, kind, service, rest)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s,%s,%s],"services":[`+
		`{"name":"llm","health_path":"/healthz","max_conns":422,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":26.0,"engine":`+
		`{"slots":48,"kv_capacity":1590000,"kv_token_bytes":327680,"link_mbps":400000.0,"stride":6,"models":[%s],"step_ms":5.95,"per_seq_ms":0.0445,`+
		`"context_per_k":0.00813,"read_per_s":50700.0,"pairs_per_m":0.368,"chunk":2048,"report_lag_ms":200.0,"loads_per_s":3.0,"loads_at_once":6,`+
		`"delays":[],"usual":{"prompt":1038,"answer":167},"keeps":1,"far_x":4.0,"form_ms":300.0}},`+
		`{"name":"app","health_path":"/healthz","max_conns":100,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},`+
		`"tenants":[{"name":"hule930","api_keys":[%q],"priority":1}]}`, version,
		route("stream", "streaming", "llm", `"timeout_ms":8000,"goal_ms":300,"max_attempts":2,"sticky":true,"can_resume":true,"gap_target_ms":300`),
		route("once", "non_idempotent", "app", `"timeout_ms":2500,"goal_ms":150,"max_attempts":1,"sticky":false,"can_resume":false`),
		route("read", "idempotent", "app", `"timeout_ms":1200,"goal_ms":150,"max_attempts":2,"sticky":false,"can_resume":false`),
		models, apiKey)
}

// reply is what a client has got.
type reply struct {
	status   int // 0 for a channel that was closed
	body     []byte
	complete bool
	seal     string
}

// call sends one client attempt to front n and returns its id and the reply.
func (s *system) call(n int, kind string, timeLeft time.Duration) (id string, got reply) {
	s.mu.Lock()
	s.requests++
	id = fmt.Sprintf("%08x%08x", os.Getpid(), s.requests)
	s.mu.Unlock()
	method := http.MethodPost
	if kind == "read" {
		method = http.MethodGet
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeLeft)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = bytes.NewReader([]byte(strings.Repeat("b", 600)))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+at(s.ip("front", n), s.ports.front)+"/"+kind+"/2f", body)
	if err != nil {
		cannot("%v", err)
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("Api-Key", apiKey)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(timeLeft.Milliseconds(), 10))
	if kind == "stream" {
		req.Header.Set("X-Model", "m0")
		req.Header.Set("X-Token-Count", "700,480")
		req.Header.Set("X-Prompt-Prefix", "5c1e07a2:40,"+id+":660")
	}
	resp, err := http.DefaultClient.Do(req)
	if err == nil {
		got.status, got.seal = resp.StatusCode, resp.Header.Get("X-Server-Seal")
		got.body, err = io.ReadAll(resp.Body)
		got.complete = err == nil
		_ = resp.Body.Close()
	}
	s.mu.Lock()
	s.answers[fmt.Sprintf("%s %d complete=%t", kind, got.status, got.complete)]++
	s.mu.Unlock()
	return id, got
}

// load sends requests of a kind to the fronts in turn until the returned function is
// called, which waits for the answers.
func (s *system) load(kind string, fronts int, every, timeLeft time.Duration) (stop func()) {
	done := make(chan struct{})
	var all sync.WaitGroup
	all.Add(1)
	go func() {
		defer all.Done()
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-ticker.C:
				all.Add(1)
				go func() {
					defer all.Done()
					_, _ = s.call(n%fronts, kind, timeLeft)
				}()
			}
		}
	}()
	return func() {
		close(done)
		all.Wait()
	}
}

// startCore starts the control machines and the fronts and stores the first config.
func (s *system) startCore(fronts int, models string) {
	for n := range 3 {
		s.startControl(n)
	}
	for n := range fronts {
		s.startFront(n)
	}
	s.awaitLeader()
	s.operator(http.MethodPut, "/config", configText(1, models), 0, 1, 2)
}

// awaitService waits until each front has served a request of the kind.
func (s *system) awaitService(kind string, fronts int) {
	for n := range fronts {
		s.await(30*time.Second, fmt.Sprintf("front %d to serve %s", n, kind), func() bool {
			_, got := s.call(n, kind, 3*time.Second)
			return got.status == http.StatusOK && got.complete
		})
	}
	s.note("all fronts serve %s", kind)
}

// noteAnswers writes the number of answers by outcome to the record.
func (s *system) noteAnswers() {
	s.mu.Lock()
	text := fmt.Sprint(s.answers)
	s.mu.Unlock()
	s.note("answers to clients: %s", text)
}
