package dragonflysecond

import (
	"encoding/json"
	"io"
	"net/http"
	"time"
)

const (
	// series is the number of times that one machine of the core loses its disk.
	series = 50
	// syncTime is how long a machine counts as lost after it is back, and a little more.
	syncTime = 5 * time.Second
	// readyTime is how long a machine that is back may take to follow the leader.
	readyTime = 6 * time.Second
	// recoveryTime is the bound of the site for the time after the machines are back.
	recoveryTime = 12 * time.Second
)

// lostDisks lets one machine of the core lose its disk again and again, then, once it has
// been back for long enough, another one lose its disk once. At most one machine is lost at a
// time. What was acknowledged must still be there. Without the trouble the first machine
// loses its disk once.
func lostDisks(s *system, trouble bool) int {
	s.startControl()
	s.configure(config(7, 2500))
	first, second := s.cores[2], s.cores[1]
	losses, ready := 1, 0
	if trouble {
		losses = series
	}
	for n := range losses {
		s.loseDisk(first)
		if s.within(readyTime, func() bool { return s.isReady(first) }) {
			ready++
			continue
		}
		s.note("%s does not follow the leader %v after loss %d of its disk", first.name, readyTime, n+1)
		break
	}
	s.note("%s was ready after %d losses of its disk", first.name, ready)
	time.Sleep(syncTime)
	s.configure(config(8, 2500))
	s.note("version read: %d", s.readVersion())
	s.note("%s loses its disk, all others run", second.name)
	s.loseDisk(second)
	time.Sleep(syncTime)
	for end := time.Now().Add(recoveryTime); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if v := s.readVersion(); v == 8 {
			s.note("version read: %d", v)
			return held
		}
	}
	s.note("version 8 was acknowledged; no machine returns it %v after %s is back", syncTime+recoveryTime, second.name)
	for i, c := range s.cores {
		s.note("%s: GET /config %d, PUT /config %d, ready %t, runs %t", c.name, status(http.MethodGet, "http://"+s.control[i]+"/config", ""),
			status(http.MethodPut, "http://"+s.control[i]+"/config", config(9, 2500)), s.isReady(c), c.lives())
	}
	return broken
}

// within reports whether ok returns true within d.
func (s *system) within(d time.Duration, ok func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}

// readVersion returns the version of the config that a machine of the core returns, 0 if none
// does.
func (s *system) readVersion() int {
	for _, a := range s.control {
		resp, err := calls.Get("http://" + a + "/config")
		if err != nil {
			continue
		}
		raw, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		var c struct{ Version int }
		if err == nil && resp.StatusCode == http.StatusOK && json.Unmarshal(raw, &c) == nil {
			return c.Version
		}
	}
	return 0
}
