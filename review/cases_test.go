// Package dragonflyreview_test holds the cases of an independent review. Each case starts
// the built programs as separate processes on loopback addresses, with stand-ins for the
// servers, the clients and the operator. The run.sh of a case's folder runs it.
package dragonflyreview_test

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// cases are the cases by name. Each returns whether a rule was broken. The file of a case
// adds it.
var cases = map[string]func(s *system) (isBroken bool){}

// limit is the longest time that a case may take.
const limit = 110 * time.Second

func TestMain(m *testing.M) {
	name := os.Getenv("CASE")
	f, ok := cases[name]
	if !ok {
		fmt.Println("CASE names no case; run.sh in the folder of a case sets it")
		os.Exit(cannotRun)
	}
	os.Exit(runCase(f))
}

// runCase runs a case from the root of the repository and returns its exit code.
func runCase(f func(s *system) bool) (code int) {
	record := os.Getenv("RECORD")
	if record == "" {
		record = filepath.Join(os.TempDir(), "record.txt")
	}
	code = cannotRun
	defer func() {
		if v := recover(); v != nil {
			fmt.Println("the case could not run:", v)
			code = cannotRun
		}
	}()
	s := newSystem(record)
	var once sync.Once
	end := func() { once.Do(s.end) }
	defer end()
	timer := time.AfterFunc(limit, func() {
		s.note("the time is over")
		end()
		os.Exit(cannotRun)
	})
	defer timer.Stop()
	asked := make(chan os.Signal, 1)
	signal.Notify(asked, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-asked
		end()
		os.Exit(cannotRun)
	}()
	defer func() {
		if v := recover(); v != nil {
			s.note("the case could not run: %v", v)
			panic(v)
		}
	}()
	if f(s) {
		s.note("result: the rule was broken")
		return broken
	}
	s.note("result: the rule held")
	return held
}
