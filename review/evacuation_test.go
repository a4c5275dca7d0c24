package dragonflyreview_test

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["evacuation"] = runEvacuation }

// runEvacuation has an operator that takes a zone back and evacuates it again, up to four
// times. With the disruption, the control machine that it asks first to take the zone back
// is frozen for 4 s, so that it asks another one after a second.
func runEvacuation(s *system) bool {
	s.startCore(2, "")
	var all []*server
	for n := range 3 {
		all = append(all, s.serve("app", "plain", n, ""))
	}
	s.awaitService("read", 2)
	stop := s.load("read", 2, 20*time.Millisecond, 1200*time.Millisecond)
	defer stop()
	time.Sleep(contact + time.Second)
	s.operator(http.MethodPost, zonePath, "", s.awaitLeader())
	time.Sleep(4 * time.Second)
	for round := range 4 {
		s.note("round %d", round+1)
		if s.takeBackAndEvacuate(all[1]) {
			return true
		}
	}
	s.noteAnswers()
	return false
}

const zonePath = "/evacuate/zona-b"

// takeBackAndEvacuate is one round. It reports whether requests reach the server u of the
// zone after the bound.
func (s *system) takeBackAndEvacuate(u *server) bool {
	leader := s.awaitLeader()
	first, second := (leader+1)%3, (leader+2)%3
	name := fmt.Sprintf("control-%d", first)
	if s.trouble {
		s.signal(name, syscall.SIGSTOP)
	}
	frozen := time.Now()
	s.operator(http.MethodDelete, zonePath, "", first, second, leader)
	time.Sleep(time.Second)
	acked := s.operator(http.MethodPost, zonePath, "", second, leader)
	time.Sleep(time.Until(frozen.Add(4 * time.Second)))
	if s.trouble {
		s.signal(name, syscall.SIGCONT)
	}
	thawed := time.Now()
	from := acked.Add(evacuate + maxStretch)
	if calm := thawed.Add(contact); calm.After(from) {
		from = calm
	}
	time.Sleep(time.Until(from.Add(3 * time.Second)))
	late := u.since(from)
	for i, a := range late {
		if i < 5 || i == len(late)-1 {
			s.note("BROKEN EVAC: request %s reaches %s in zona-b %.3f s after the evacuation was acknowledged", a.id, u.id, a.at.Sub(acked).Seconds())
		}
	}
	s.note("%d requests reach zona-b later than the bound", len(late))
	return len(late) > 0
}
