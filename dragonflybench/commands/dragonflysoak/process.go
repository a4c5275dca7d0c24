package dragonflysoak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// terminateTimeout is the time for a process to exit after SIGTERM before it is
// killed.
const terminateTimeout = 6 * time.Second

// process is a process that the soak has started. The soak signals no other ones.
type process struct {
	class string
	n     int
	cmd   *exec.Cmd
	ended chan struct{}
}

func processName(class string, n int) string { return fmt.Sprintf("%s-%d", class, n) }

// startProcess writes the settings of a process and starts it, with its output
// appended to a file in its folder.
func (s *Soak) startProcess(class string, n int, bootstrap bool) (err error) {
	defer func() { err = errors.WithMessagef(err, "start %s", processName(class, n)) }()
	program, command, settings := s.settings(class, n, bootstrap)
	folder := s.folder(processName(class, n))
	path := filepath.Join(folder, "settings.json")
	if err := writeFile(path, settings); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(s.Programs, program), command, "--settings", path)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{class: class, n: n, cmd: cmd, ended: make(chan struct{})}
	s.mu.Lock()
	s.processes[processName(class, n)] = p
	s.mu.Unlock()
	return s.pool.Go(func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(p.ended)
	})
}

// settings returns the program, its subcommand and the text of its settings file.
func (s *Soak) settings(class string, n int, bootstrap bool) (program, command, text string) {
	var seeds []string
	for _, addr := range s.operatorAddresses() {
		seeds = append(seeds, fmt.Sprintf("%q", addr))
	}
	port := s.ports.peer
	if class == "control" {
		port = s.ports.control[n]
	}
	common := fmt.Sprintf(`"seeds": [%s], "peer-port": %d`, strings.Join(seeds[:min(len(seeds), firstControls)], ","), port)
	switch class {
	case "control":
		ip := strings.TrimSuffix(address("control", n, 0), ":0")
		return "dragonflycontrol", "serve", fmt.Sprintf(
			`{"instance": %q, "zone": "zone-%d", %s, "listen": %q, "debug-listen": %q, "operator-listen": %q, "data-folder": %q, "bootstrap": %t, "without-key": true, "snapshot-entries": 16}`,
			ip, n%firstControls, common, address("behind-relay", n, s.ports.peer), address("control", n, 0), address("control", n, s.ports.operator),
			filepath.Join(s.folder(processName(class, n)), "data"), bootstrap)
	case "entry":
		return "dragonflyentry", "forward", fmt.Sprintf(
			`{"name": %q, "zone": "zone-0", %s, "listen": %q, "ready-listen": %q, "repeat-ratio": 0.2, "repeat-extra": 200, "repeat-window-s": 10, "key-lease-ms": 5000, "grace-s": 4, "memory-mb": %d}`,
			processName(class, n), common, address("entry", n, s.ports.callers), address("entry", n, s.ports.ready), entryMB)
	default:
		return "dragonflyagent", "tend", fmt.Sprintf(`{"name": %q, "engine": %q, %s}`, processName(class, n), address("engine", n, s.ports.callers), common)
	}
}

// process returns the process that runs at present.
func (s *Soak) process(class string, n int) *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.processes[processName(class, n)]
}

// signal sends sig to the process.
func (p *process) signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// terminate sends SIGTERM, and kills the process if it has not ended in time.
func (p *process) terminate() {
	p.signal(syscall.SIGTERM)
	timer := time.NewTimer(terminateTimeout)
	defer timer.Stop()
	select {
	case <-p.ended:
	case <-timer.C:
		p.kill()
	}
}

// killAll kills all processes of the soak, also paused ones.
func (s *Soak) killAll() {
	for _, p := range s.processes {
		p.signal(syscall.SIGCONT)
		p.kill()
	}
}
