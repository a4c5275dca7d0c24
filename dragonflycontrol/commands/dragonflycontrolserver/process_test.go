package dragonflycontrolserver_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"dragonflyrelay.example/dragonflycontrol/commands/dragonflycontrolserver"
	"dragonflyrelay.example/library/common/dragonflylogstore"
	. "github.com/smartystreets/goconvey/convey"
)

// processVariable holds the settings of a control instance that runs in a process of its
// own, which is this test binary.
const processVariable = "DRAGONFLY_TEST_CONTROL"

// process is a control instance in a process of its own, with a disk that refuses what the
// file at disk names.
type process struct {
	IP        string
	Port      int
	Dir       string
	Bootstrap bool
	Entries   int // after which a snapshot is written
	cmd       *exec.Cmd
	ended     chan struct{} // closed when the process has ended
}

func TestMain(m *testing.M) {
	raw := os.Getenv(processVariable)
	if raw == "" {
		os.Exit(m.Run())
	}
	var p process
	if err := json.Unmarshal([]byte(raw), &p); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	s := (&deployment{port: p.Port, dirs: map[string]string{p.IP: p.Dir}}).server(p.IP, p.Bootstrap)
	s.Settings.SnapshotEntries = p.Entries
	p.setDisk(s)
	if err := s.Run(ctx); err != nil {
		slog.Error("control instance ended", "error", err)
		os.Exit(1)
	}
}

// What the disk of a process refuses.
const (
	refusesWrites      = "writes" // after half of their bytes
	refusesLargeWrites = "large writes"
	refusesSyncs       = "syncs"
	refusesFolderSyncs = "folder syncs"
	refusesRenames     = "renames"
	refusesLogRenames  = "renames of the log" // so that a new snapshot stays with the old log
	refusesTruncation  = "writes and truncation"
	stalls             = "stalls" // until it has room again
)

// smallWrite is the size in bytes up to which a disk takes writes that refuses large ones:
// enough for a vote, not for a document.
const smallWrite = 200

func (p *process) diskFile() string { return p.Dir + ".disk" }

func (p *process) logFile() string { return p.Dir + ".log" }

// refuse makes the disk refuse what is named, or nothing.
func (p *process) refuse(what string) {
	temp := p.diskFile() + ".new"
	So(os.WriteFile(temp, []byte(what), 0o600), ShouldBeNil)
	So(os.Rename(temp, p.diskFile()), ShouldBeNil)
}

// refused returns what the disk refuses. It waits while the disk stalls.
func (p *process) refused() string {
	for {
		raw, _ := os.ReadFile(p.diskFile())
		if string(raw) != stalls {
			return string(raw)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (p *process) setDisk(s *dragonflycontrolserver.Server) {
	s.Write = func(f *os.File, b []byte) (int, error) {
		switch what := p.refused(); {
		case what == refusesWrites || what == refusesTruncation || what == refusesLargeWrites && len(b) > smallWrite:
			n, _ := f.Write(b[:len(b)/2])
			return n, syscall.ENOSPC
		}
		return f.Write(b)
	}
	s.Sync = func(f *os.File) error {
		info, err := f.Stat()
		if err != nil {
			return err
		}
		if what := p.refused(); what == refusesSyncs && !info.IsDir() || what == refusesFolderSyncs && info.IsDir() {
			return syscall.ENOSPC
		}
		return f.Sync()
	}
	s.Truncate = func(f *os.File, size int64) error {
		if p.refused() == refusesTruncation {
			return syscall.ENOSPC
		}
		return f.Truncate(size)
	}
	s.Rename = func(from, to string) error {
		what := p.refused()
		if what == refusesRenames || what == refusesLogRenames && filepath.Base(to) == dragonflylogstore.LogFile {
			return syscall.ENOSPC
		}
		return os.Rename(from, to)
	}
}

// start starts the process, which writes its log to a file beside its folder.
func (p *process) start() {
	raw, err := json.Marshal(p)
	So(err, ShouldBeNil)
	out, err := os.OpenFile(p.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	So(err, ShouldBeNil)
	defer func() { _ = out.Close() }()
	p.cmd = exec.Command(os.Args[0])
	p.cmd.Env = append(os.Environ(), processVariable+"="+string(raw))
	p.cmd.Stdout, p.cmd.Stderr = out, out
	So(p.cmd.Start(), ShouldBeNil)
	cmd, ended := p.cmd, make(chan struct{})
	p.ended = ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
}

// kill ends the process with SIGKILL.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// restart kills the process and starts it again.
func (p *process) restart() {
	p.kill()
	p.start()
}

// wipe kills the process, deletes its folder and starts it again.
func (p *process) wipe() {
	p.kill()
	So(os.RemoveAll(p.Dir), ShouldBeNil)
	p.start()
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// startProcesses starts a deployment of three processes that write a snapshot after the
// given number of entries.
func startProcesses(t *testing.T, entries int) (ps []*process) {
	port, parent := freePeerPort(), t.TempDir()
	for _, ip := range []string{"127.0.0.21", "127.0.0.22", "127.0.0.23"} {
		p := &process{IP: ip, Port: port, Dir: filepath.Join(parent, ip), Bootstrap: true, Entries: entries}
		p.start()
		p.Bootstrap = false
		ps = append(ps, p)
	}
	Reset(func() {
		for _, p := range ps {
			p.kill()
		}
	})
	return ps
}
