package dragonflythird_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"dragonflyrelay.example/platform/dragonflystandin"
)

// Bounds of a small deployment, as in the settings of trinacria-aste.
const (
	contact   = 3 * time.Second
	frontPort = 8227
	readyPort = 8220
	apiPort   = 8229
	appPort   = 8120
	firstPort = 7340
)

// process is one program of the deployment on a machine with an address of its own.
type process struct {
	name, ip string
	args     []string
	cmd      *exec.Cmd
	ended    chan struct{}
}

// system is a deployment: control, entries and agents as processes, servers in this one.
type system struct {
	*record
	trouble  bool
	root     string // of the repository
	dir      string
	network  string // first three numbers of all addresses
	machines int
	seeds    []string
	fleet    *dragonflystandin.Fleet
	controls []*process
	entries  []*process
	agents   []*process
	mu       sync.Mutex
	at       map[string]string // address of a server by id
	isClosed bool
}

func newSystem(trouble bool) (s *system, err error) {
	s = &system{trouble: trouble, fleet: &dragonflystandin.Fleet{}, at: map[string]string{}}
	if s.record, err = newRecord(); err != nil {
		return nil, err
	}
	if s.root, err = filepath.Abs(os.Getenv("ROOT")); err != nil {
		return nil, err
	}
	if s.dir, err = os.MkdirTemp("", "dragonfly-case-"); err != nil {
		return nil, err
	}
	pid := os.Getpid()
	s.network = fmt.Sprintf("127.%d.%d", 1+pid/250%250, 1+pid%250)
	return s, nil
}

func (s *system) nextIP() string {
	s.machines++
	return fmt.Sprintf("%s.%d", s.network, s.machines)
}

// close ends all processes.
func (s *system) close() {
	s.mu.Lock()
	s.isClosed = true
	s.mu.Unlock()
	for _, p := range s.all() {
		p.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

func (s *system) all() (all []*process) {
	all = append(append(append(all, s.controls...), s.entries...), s.agents...)
	return all
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)

// settings fills the template of a role in, as the platform does.
func (s *system) settings(template, ip string, bootstrap bool) string {
	raw, err := os.ReadFile(filepath.Join(s.root, "deploy", template))
	must(err)
	name := strings.TrimSuffix(template, ".json") + "-" + ip
	data := filepath.Join(s.dir, "data-"+ip)
	must(os.MkdirAll(data, 0o755))
	values := map[string]any{
		"node_name": name, "ip": ip, "zone": "palermo", "seeds": s.seeds, "bootstrap": bootstrap, "data_dir": data,
		"port_range.0": firstPort, "port_range.1": firstPort + 1, "app": fmt.Sprintf("%s:%d", ip, appPort),
		"listen.front": fmt.Sprintf("%s:%d", ip, frontPort), "listen.ready": fmt.Sprintf("%s:%d", ip, readyPort),
		"listen.control": fmt.Sprintf("%s:%d", ip, apiPort), "limits.memory_mb": 284,
		"bounds.retry_ratio": 0.2, "bounds.retry_extra": 198, "bounds.retry_window_s": 10, "bounds.revoke_ms": 5000, "bounds.grace_s": 8,
	}
	text := placeholder.ReplaceAllStringFunc(string(raw), func(p string) string {
		m := placeholder.FindStringSubmatch(p)
		v, ok := values[m[1]]
		if !ok {
			panic("no value for " + p)
		}
		if m[2] == "" {
			return fmt.Sprint(v)
		}
		out, err := json.Marshal(v)
		must(err)
		return string(out)
	})
	path := filepath.Join(s.dir, name+".json")
	must(os.WriteFile(path, []byte(text), 0o644))
	return path
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// begin starts the program of p, unless the script has ended.
func (s *system) begin(p *process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed {
		return
	}
	f, err := os.OpenFile(filepath.Join(s.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	must(err)
	p.cmd = exec.Command(filepath.Join(s.root, p.args[0]), p.args[1:]...)
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = s.root, f, f
	must(p.cmd.Start())
	p.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		_ = f.Close()
		close(ended)
	}(p.cmd, p.ended)
	s.log("started %s at %s, process %d", p.name, p.ip, p.cmd.Process.Pid)
}

func (p *process) signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

func (p *process) kill() {
	if p.ended == nil {
		return // It was never started.
	}
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// leader returns the control instance that was elected last, by the logs.
func (s *system) leader() (leading *process) {
	latest := ""
	for _, p := range s.controls {
		raw, err := os.ReadFile(filepath.Join(s.dir, p.name+".log"))
		must(err)
		for line := range strings.Lines(string(raw)) {
			var l struct{ Time, Msg string }
			if json.Unmarshal([]byte(line), &l) == nil && l.Msg == "leader-elected" && l.Time > latest {
				latest, leading = l.Time, p
			}
		}
	}
	if leading == nil {
		panic("no control instance leads")
	}
	return leading
}

// startControl starts n control instances, whose addresses are the seeds.
func (s *system) startControl(n int) {
	for range n {
		ip := s.nextIP()
		s.seeds = append(s.seeds, fmt.Sprintf("%s:%d", ip, apiPort))
		s.controls = append(s.controls, &process{name: "control-" + ip, ip: ip})
	}
	for _, p := range s.controls {
		p.args = []string{
			"target/dragonflycontrol", "serve", "--settings", s.settings("control.json", p.ip, true),
			"--group-stall-ms=1500", "--zone=palermo", "--heartbeat-ms=300",
		}
		s.begin(p)
	}
	s.fleet.SetControl(s.seeds)
}

// startEntries starts n entries.
func (s *system) startEntries(n int) {
	for range n {
		ip := s.nextIP()
		p := &process{name: "entry-" + ip, ip: ip, args: []string{"target/dragonflyentry", "forward", "--settings", s.settings("entry.json", ip, true)}}
		s.entries = append(s.entries, p)
		s.begin(p)
	}
}

// startEngines starts n engines, each with its agent.
func (s *system) startEngines(n int) {
	for range n {
		ip := s.nextIP()
		s.startServer("llm", ip, "domain-0")
		p := &process{name: "agent-" + ip, ip: ip, args: []string{"target/dragonflyagent", "tend", "--settings", s.settings("agent.json", ip, true)}}
		s.agents = append(s.agents, p)
		s.begin(p)
	}
}

// startServer starts a stand-in server at the address ip.
func (s *system) startServer(service, ip, domain string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed {
		return
	}
	addr := fmt.Sprintf("%s:%d", ip, appPort)
	id, err := s.fleet.Start(context.Background(), service, addr, "", "palermo", domain)
	if err != nil {
		s.log("server at %s not started: %v", addr, err)
		return
	}
	s.at[id] = ip
	s.log("server %s of %s starts at %s", id, service, addr)
}

// ip returns the address of the server id.
func (s *system) ip(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.at[id]
}

// crashOn makes the requests with a part of the prompt, or of a path, crash their servers, which are
// back after some time.
func (s *system) crashOn(part, path, service, domain string, back time.Duration) {
	onCrash := func(id string) {
		s.log("server %s crashes", id)
		ip := s.ip(id)
		time.AfterFunc(back, func() { s.startServer(service, ip, domain) })
	}
	if part != "" {
		s.fleet.SetDeadly(part, onCrash)
		return
	}
	s.fleet.SetDeadlyPath(path, onCrash)
}

// putConfig sends the config until it is acknowledged.
func (s *system) putConfig(content string) {
	s.await("an acknowledged config", 15*time.Second, func() bool {
		req, err := http.NewRequest(http.MethodPut, "http://"+s.seeds[0]+"/config", strings.NewReader(content))
		must(err)
		resp, err := (&http.Client{Timeout: time.Second}).Do(req)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// config returns a config with a route of each kind.
func config(version int) string {
	route := func(kind, service, rest string) string {
		return fmt.Sprintf(`{"name":%q,"host":"case.example","path_prefix":"/%s/","timeout_ms":5000,"goal_ms":1000,"service":%q,%s}`, kind, kind, service, rest)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s,%s,%s,%s],"services":[{"name":"app","health_path":"/healthz","max_conns":100,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":5.0},
{"name":"llm","health_path":"/healthz","max_conns":400,"engine":{"slots":48,"stride":1,"step_ms":1,"read_per_s":50000,"loads_per_s":3,"loads_at_once":6,
"models":[{"name":%q,"size":%d,"share":1,"pace":1,"load_s":1,"warmup_s":0.2}]}}],
"tenants":[{"name":"t1","api_keys":["key-1"]}],"limits":{"max_body_bytes":4194304}}`, version,
		route("stream", "llm", `"kind":"streaming","can_resume":true,"max_attempts":2,"gap_target_ms":300`),
		route("brief", "llm", `"kind":"streaming","can_resume":false,"max_attempts":1,"gap_target_ms":300`),
		route("once", "app", `"kind":"non_idempotent","max_attempts":1`), route("read", "app", `"kind":"idempotent","max_attempts":2`),
		dragonflystandin.Model, dragonflystandin.GroupSize)
}

// await waits until ok holds.
func (s *system) await(what string, limit time.Duration, ok func() bool) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return
		}
	}
	panic("not within " + limit.String() + ": " + what)
}

// answer is what a client has got; its status is 0 for a connection without an answer.
type answer struct {
	status int
	whole  bool
}

// call sends one request to an entry. Parts lists the parts of its prompt.
func (s *system) call(entry *process, method, path, id, parts string) (a answer) {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", entry.ip, frontPort, path), nil)
	must(err)
	req.Host = "case.example"
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("Api-Key", "key-1")
	req.Header.Set("X-Deadline-Ms", "5000")
	if parts != "" {
		req.Header.Set("X-Model", dragonflystandin.Model)
		req.Header.Set("X-Token-Count", "100,100")
		req.Header.Set("X-Prompt-Prefix", parts)
	}
	t := &http.Transport{DisableKeepAlives: true}
	sent := time.Now()
	resp, err := t.RoundTrip(req)
	if err != nil {
		s.log("%s %s sent to %s %.3f s ago: no answer", id, path, entry.name, time.Since(sent).Seconds())
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.ReadAll(resp.Body)
	a = answer{status: resp.StatusCode, whole: err == nil}
	s.log("%s %s sent to %s %.3f s ago: status %d, whole %t", id, path, entry.name, time.Since(sent).Seconds(), a.status, a.whole)
	return a
}

// load sends a request that may run once every interval, to the entries in turn, until stop is called.
// Stop returns how many of them got which status.
func (s *system) load(interval time.Duration) (stop func() (statuses map[int]int)) {
	end := make(chan struct{})
	statuses := map[int]int{}
	var mu sync.Mutex
	var calls sync.WaitGroup
	calls.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-end:
				return
			case <-time.After(interval):
				calls.Go(func() {
					a := s.call(s.entries[n%2], http.MethodPost, "/once/x", fmt.Sprintf("r%d", n), "")
					mu.Lock()
					defer mu.Unlock()
					statuses[a.status]++
				})
			}
		}
	})
	return func() map[int]int {
		close(end)
		calls.Wait()
		return statuses
	}
}

// awaitService waits until each entry serves a request of the kind.
func (s *system) awaitService(kind, parts string, limit time.Duration) {
	for i, e := range s.entries {
		n := 0
		s.await("an answer from each entry", limit, func() bool {
			n++
			return s.call(e, http.MethodPost, "/"+kind+"/warm", fmt.Sprintf("w-%d-%d-%d", i, n, time.Now().UnixNano()), parts).status == http.StatusOK
		})
	}
}
