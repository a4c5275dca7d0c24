package dragonflythird_test

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() {
	scripts["left-server"] = leftServer
	scripts["left-unknown"] = leftUnknown
}

const drainTime = 2 * time.Second // drain_ms

// leftServer lets a server sign off while a heartbeat of it is still on its way, and restarts the control
// instances in turn. Requests go on all the while.
func leftServer(s *system) bool {
	s.startControl(3)
	s.startEntries(2)
	var servers []*plainServer
	for i := range 3 {
		servers = append(servers, s.startPlain(fmt.Sprintf("app-%d", i)))
	}
	s.putConfig(config(1))
	s.awaitService("once", "", 20*time.Second)
	stop := s.load(40 * time.Millisecond)
	time.Sleep(4 * time.Second)

	left := servers[2]
	late := left.heartbeat()
	sentAt := time.Now()
	s.log("heartbeat %s of %s is sent and held up on its way", late, left.id)
	time.Sleep(time.Second) // Without an answer for so long, the server turns to the next instance.
	left.report(http.MethodPut, left.heartbeat())
	left.mu.Lock()
	left.leaves = true
	left.mu.Unlock()
	left.report(http.MethodDelete, "")
	acknowledged := time.Now()
	s.log("%s has signed off, acknowledged", left.id)
	time.Sleep(300 * time.Millisecond)
	if s.trouble {
		for _, p := range s.controls {
			s.log("%s gets SIGTERM", p.name)
			p.signal(syscall.SIGTERM)
			<-p.ended
			p.args[3] = s.settings("control.json", p.ip, false)
			s.begin(p)
			time.Sleep(500 * time.Millisecond)
		}
	}
	last := time.Now()
	time.Sleep(time.Until(sentAt.Add(6 * time.Second)))
	for i := range s.seeds {
		if left.tell(i, http.MethodPut, late) {
			s.log("the heartbeat of %.3f s arrives and is acknowledged", sentAt.Sub(s.began).Seconds())
			break
		}
	}
	time.Sleep(time.Until(acknowledged.Add(8 * time.Second)))
	_ = left.http.Close()
	s.log("%s ends", left.id)
	time.Sleep(time.Second)
	s.log("answers by status: %v", stop())
	from := acknowledged.Add(drainTime)
	if inTouch := last.Add(contact); inTouch.After(from) {
		from = inTouch
	}
	n := left.since(from)
	s.log("%d requests reached %s after %.3f s", n, left.id, from.Sub(s.began).Seconds())
	return n > 0
}

// leftUnknown kills the leader of control, and lets a server sign off before its next heartbeat. Requests go
// on all the while.
func leftUnknown(s *system) bool {
	s.startControl(3)
	s.startEntries(2)
	var servers []*plainServer
	for i := range 3 {
		servers = append(servers, s.startPlain(fmt.Sprintf("app-%d", i)))
	}
	s.putConfig(config(1))
	s.awaitService("once", "", 20*time.Second)
	stop := s.load(40 * time.Millisecond)
	time.Sleep(6 * time.Second)

	left := servers[2]
	left.mu.Lock()
	left.leaves = true // It begins to leave: no more heartbeats.
	left.mu.Unlock()
	last := time.Now()
	if s.trouble {
		p := s.leader()
		s.log("%s, which leads, is killed", p.name)
		p.kill()
		p.args[3] = s.settings("control.json", p.ip, false)
		time.AfterFunc(500*time.Millisecond, func() { s.begin(p) })
		last = time.Now().Add(500 * time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	left.report(http.MethodDelete, "")
	acknowledged := time.Now()
	s.log("%s has signed off, acknowledged", left.id)
	time.Sleep(time.Until(acknowledged.Add(drainTime + 1600*time.Millisecond)))
	_ = left.http.Close()
	s.log("%s ends", left.id)
	time.Sleep(time.Second)
	s.log("answers by status: %v", stop())
	from := acknowledged.Add(drainTime)
	if inTouch := last.Add(contact); inTouch.After(from) {
		from = inTouch
	}
	n := left.since(from)
	s.log("%d requests reached %s after %.3f s", n, left.id, from.Sub(s.began).Seconds())
	return n > 0
}
