// Package dragonflysecond plays the cases of the second review: it starts the project's own
// programs as processes before small stand-ins for clients, servers and the platform, which
// follow the published protocol and use no package of the project.
package dragonflysecond

import (
	"fmt"
	"io"
	"log"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"
)

// outcomes of a case, which are the exit codes of its script.
const (
	held   = 0
	broken = 1
	failed = 2 // the case could not run
)

// cases holds the cases by the name of their folder.
var cases = map[string]func(s *system, trouble bool) int{
	"6":  lostDisks,
	"7":  foreignBytes,
	"9":  garbage,
	"10": otherWriter,
}

// TestMain plays the case that the variable CASE names, and ends with its outcome.
func TestMain(*testing.M) {
	play, known := cases[os.Getenv("CASE")]
	if !known {
		fmt.Fprintln(os.Stderr, "CASE names no case")
		os.Exit(failed)
	}
	os.Exit(run(play, os.Getenv("FOLDER"), os.Getenv("TROUBLE") != "0"))
}

// run plays one case in a temporary folder and writes its record into folder.
func run(play func(s *system, trouble bool) int, folder string, trouble bool) (outcome int) {
	log.SetOutput(io.Discard)
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer func() { _ = f.Close() }()
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer func() { _ = os.RemoveAll(temp) }()
	s := &system{folder: temp, record: &record{w: f, began: time.Now()}}
	defer s.stop()
	defer func() {
		if v := recover(); v != nil {
			s.note("the case could not run: %v", v)
			outcome = failed
		}
	}()
	s.note("trouble: %t", trouble)
	outcome = play(s, trouble)
	s.note("outcome: %s", [...]string{"the rule held", "the rule was broken", "the case could not run"}[outcome])
	return outcome
}

// record is the account of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	w     io.Writer
	began time.Time
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.w, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}
