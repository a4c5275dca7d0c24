package dragonflythird_test

import (
	"fmt"
	"net/http"
	"time"
)

func init() {
	scripts["cold-again"] = coldAgain
	scripts["cold-reborn"] = coldReborn
}

const (
	coldTime = 3 * time.Second // cold_start_s
	// mostCold is cold_per_s x cold_excess + cold_slack.
	mostCold = 5*1.5 + 5
)

// coldAgain makes a server cold, and once more shortly before it is warm. Requests go on all the while.
func coldAgain(s *system) bool {
	s.startControl(3)
	s.startEntries(2)
	var servers []*plainServer
	for i := range 3 {
		servers = append(servers, s.startPlain(fmt.Sprintf("app-%d", i)))
	}
	s.putConfig(config(1))
	s.awaitService("once", "", 20*time.Second)
	stop := s.load(10 * time.Millisecond)
	time.Sleep(4 * time.Second)
	p := servers[2]
	// The heartbeat that says so goes out with the next interval, and is awaited first.
	p.setCold(coldTime)
	p.report(http.MethodPut, p.heartbeat())
	time.Sleep(300 * time.Millisecond)
	p.mu.Lock()
	p.cold = nil // before control and the entries knew
	p.mu.Unlock()
	time.Sleep(2200 * time.Millisecond)
	if s.trouble {
		p.setCold(coldTime)
	}
	time.Sleep(4 * time.Second)
	s.log("answers by status: %v", stop())
	most, at := p.mostInSecond()
	s.log("at most %d requests in one second reached %s while it was cold, from %.3f s; %.1f are allowed", most, p.id, at.Sub(s.began).Seconds(), mostCold)
	return float64(most) > mostCold
}

// coldReborn cuts a server off from control for five seconds, in which it crashes and starts again under its
// id. Requests go on all the while.
func coldReborn(s *system) bool {
	s.startControl(3)
	s.startEntries(2)
	var servers []*plainServer
	for i := range 3 {
		servers = append(servers, s.startPlain(fmt.Sprintf("app-%d", i)))
	}
	s.putConfig(config(1))
	s.awaitService("once", "", 20*time.Second)
	stop := s.load(10 * time.Millisecond)
	time.Sleep(4 * time.Second)
	p := servers[2]
	if s.trouble {
		p.setCutOff(true)
	}
	time.Sleep(300 * time.Millisecond)
	p.crash()
	time.Sleep(500 * time.Millisecond)
	p.restart(coldTime)
	time.Sleep(4200 * time.Millisecond)
	p.setCutOff(false)
	time.Sleep(2 * time.Second)
	s.log("answers by status: %v", stop())
	most, at := p.mostInSecond()
	s.log("at most %d requests in one second reached %s while it was cold, from %.3f s; %.1f are allowed", most, p.id, at.Sub(s.began).Seconds(), mostCold)
	return float64(most) > mostCold
}
