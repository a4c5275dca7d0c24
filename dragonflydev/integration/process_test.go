// Package dragonflyintegration_test runs the real programs as separate processes
// and injects failures into them.
package dragonflyintegration_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// binaryDir is the folder that TestMain builds the programs into.
var binaryDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "dragonfly-integration-")
	if err != nil {
		panic(err)
	}
	binaryDir = dir
	for _, name := range []string{"dragonflycontrol", "dragonflyentry", "dragonflyagent", "dragonflybench", "dragonflyctl"} {
		out, err := exec.Command("go", "build", "-o", filepath.Join(dir, name), "dragonflyrelay.example/"+name).CombinedOutput()
		if err != nil {
			fmt.Printf("build %s: %v\n%s", name, err, out)
			os.Exit(1)
		}
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is one running program.
type process struct {
	name     string
	program  string
	args     []string
	logPath  string
	cmd      *exec.Cmd
	done     chan struct{}
	killOnce sync.Once
}

// start starts a program. Its output goes to a log file, whose end is printed if
// the test fails. The process is killed at the end of the test.
func start(t *testing.T, folder, name, program string, args ...string) *process {
	t.Helper()
	p := &process{name: name, program: program, args: args, logPath: filepath.Join(folder, name+".log")}
	f, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(filepath.Join(binaryDir, program), args...)
	p.cmd.Stdout, p.cmd.Stderr = f, f
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p.done = make(chan struct{})
	go func() {
		_ = p.cmd.Wait()
		_ = f.Close()
		close(p.done)
	}()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			raw, _ := os.ReadFile(p.logPath)
			t.Logf("%s:\n%s", name, tail(raw, 2000))
		}
	})
	return p
}

func tail(raw []byte, n int) []byte { return raw[max(0, len(raw)-n):] }

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill sends SIGKILL and waits for the process to end.
func (p *process) kill() {
	p.killOnce.Do(func() { p.signal(syscall.SIGKILL) })
	<-p.done
}

func (p *process) pause()  { p.signal(syscall.SIGSTOP) }
func (p *process) resume() { p.signal(syscall.SIGCONT) }

// terminate sends SIGTERM and waits up to limit for the graceful shutdown. It
// reports whether the process ended by itself with exit code 0.
func (p *process) terminate(limit time.Duration) bool {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode() == 0
	case <-time.After(limit):
		p.kill()
		return false
	}
}

// eventually waits until ok returns true and returns how long that took. It fails
// the test after limit; condition describes the awaited state.
func eventually(t *testing.T, limit time.Duration, condition string, ok func() bool) time.Duration {
	t.Helper()
	begin := time.Now()
	for time.Since(begin) < limit {
		if ok() {
			return time.Since(begin)
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("not within %v: %s", limit, condition)
	return limit
}
