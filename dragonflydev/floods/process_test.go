// Package dragonflyfloods_test runs the real programs as separate processes and sends them
// crowds of large or incomplete bodies. It checks their memory, their file descriptors and
// that an ordinary request is answered meanwhile. Its tests run one after the other.
package dragonflyfloods_test

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// binaryDir is the folder that TestMain builds the programs into.
var binaryDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "dragonfly-floods-")
	if err != nil {
		panic(err)
	}
	binaryDir = dir
	for _, name := range []string{"dragonflycontrol", "dragonflyentry"} {
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

// maxDescriptors is the limit of file descriptors of the programs.
const maxDescriptors = 400

// process is one running program.
type process struct {
	cmd     *exec.Cmd
	logPath string
	done    chan struct{}
}

// start starts a program with the settings text and at most maxDescriptors descriptors, and
// kills it at the end of the test.
func start(folder, program, command, settings string) *process {
	return startLimited(maxDescriptors, folder, program, command, settings)
}

// startLimited is like start, with another limit of descriptors.
func startLimited(descriptors int, folder, program, command, settings string) *process {
	path := filepath.Join(folder, "settings.json")
	So(os.WriteFile(path, []byte(settings), 0o600), ShouldBeNil)
	p := &process{logPath: filepath.Join(folder, "log"), done: make(chan struct{})}
	out, err := os.Create(p.logPath)
	So(err, ShouldBeNil)
	defer func() { _ = out.Close() }()
	p.cmd = exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, descriptors), filepath.Join(binaryDir, program), command, "--settings", path)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	So(p.cmd.Start(), ShouldBeNil)
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	Reset(func() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.done
	})
	return p
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

// peakMB returns the largest resident memory of the process so far, in MiB.
func (p *process) peakMB() int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	So(err, ShouldBeNil)
	_, rest, _ := strings.Cut(string(raw), "VmHWM:")
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	So(err, ShouldBeNil)
	return kb >> 10
}

// descriptors returns the number of open descriptors of the process.
func (p *process) descriptors() int {
	names, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	So(err, ShouldBeNil)
	return len(names)
}

// assertBounded checks that the process lives and has stayed within its bounds.
func (p *process) assertBounded(t *testing.T, maxMB, maxFiles int) {
	t.Helper()
	if !p.lives() {
		raw, _ := os.ReadFile(p.logPath)
		t.Logf("%s", raw[max(0, len(raw)-2000):])
	}
	So(p.lives(), ShouldBeTrue)
	peak, files := p.peakMB(), p.descriptors()
	t.Logf("peak %d MB of %d, %d descriptors of %d", peak, maxMB, files, maxFiles)
	So(peak, ShouldBeLessThanOrEqualTo, maxMB)
	So(files, ShouldBeLessThanOrEqualTo, maxFiles)
}

// freeAddress returns a loopback address that no one listens at.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// eventually waits up to 20 s until ok returns true.
func eventually(ok func() bool) {
	for range 400 {
		if ok() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	So("the condition", ShouldEqual, "met")
}
