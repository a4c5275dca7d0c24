// Package dragonflythird_test holds the scripts of the third review. Each runs the project's
// programs as separate processes before stand-ins, and is started by the run.sh of its case.
package dragonflythird_test

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Exit codes of a script.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	timeLimit = 115 * time.Second
)

// scripts are the cases by number. Each returns whether the rule was broken.
var scripts = map[string]func(s *system) (isBroken bool){}

// TestMain runs the script that CASE names, with the disruption unless TROUBLE is 0.
func TestMain(m *testing.M) {
	script, ok := scripts[os.Getenv("CASE")]
	if !ok {
		os.Exit(m.Run())
	}
	os.Exit(runScript(script))
}

func runScript(script func(s *system) bool) (code int) {
	s, err := newSystem(os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println(err)
		return couldNot
	}
	defer s.close()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	result := make(chan int, 1)
	go func() {
		defer func() {
			if v := recover(); v != nil {
				s.log("the script could not run: %v", v)
				result <- couldNot
			}
		}()
		if script(s) {
			result <- broken
			return
		}
		result <- held
	}()
	select {
	case code = <-result:
	case <-ended:
		code = couldNot
	case <-time.After(timeLimit):
		s.log("the time of the script is over")
		code = couldNot
	}
	for _, v := range s.fleet.Violations() {
		s.log("seen by a server: %s", v)
	}
	s.log("exit code %d", code)
	return code
}

// record is what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord() (r *record, err error) {
	f, err := os.Create(os.Getenv("RECORD"))
	return &record{file: f, began: time.Now()}, err
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(r.file, line)
	if os.Getenv("VERBOSE") != "" {
		fmt.Println(line)
	}
}
