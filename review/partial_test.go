package dragonflyreview_test

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["partial"] = runPartial }

// runPartial replaces a model server by an empty one in quiet hours. With the disruption,
// the control machines are stopped and started in turn meanwhile.
func runPartial(s *system) bool {
	s.startCore(1, oneModel)
	all := s.startEngines(3)
	s.awaitService("stream", 1)
	s.note("quiet hours begin")
	time.Sleep(contact)
	restart := func() {
		if !s.trouble {
			return
		}
		n := s.awaitLeader()
		name := fmt.Sprintf("control-%d", n)
		s.signal(name, syscall.SIGTERM)
		p := s.processes[name]
		select {
		case <-p.done:
		case <-time.After(8 * time.Second):
			_ = p.cmd.Process.Kill()
			<-p.done
		}
		s.run(p)
		s.note("%s is started again", name)
		s.awaitLeader(n)
	}
	restart()
	time.Sleep(5 * time.Second)
	old := all[2]
	old.setState("draining")
	time.Sleep(drainBound + 500*time.Millisecond)
	_, _ = old.say(http.MethodDelete, 0)
	old.exit()
	s.note("server %s has left", old.id)
	time.Sleep(time.Second)
	fresh := s.serve("llm", "side", 3, "d0")
	s.startAgent(3)
	time.Sleep(4 * time.Second)
	restart()
	time.Sleep(contact)
	s.note("requests come again")
	stop := s.load("stream", 1, 500*time.Millisecond, 8*time.Second)
	time.Sleep(20 * time.Second)
	stop()
	s.noteAnswers()
	s.note("the new server %s: ready in %d groups", fresh.id, len(fresh.ready))
	return s.brokenRules() > 0
}
