package dragonflythird_test

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { scripts["odd-heartbeat"] = oddHeartbeat }

const evacuateTime = 5 * time.Second // evacuate_ms

// zoneField is the field that the heartbeats of another writer lack.
const zoneField = `"zone":"catania",`

// oddHeartbeat takes a zone out. Later, three heartbeats of its server come from another writer, without the
// zone. Requests go on all the while.
func oddHeartbeat(s *system) bool {
	s.startControl(3)
	s.startEntries(2)
	for i := range 2 {
		s.startPlainIn("palermo", fmt.Sprintf("app-%d", i))
	}
	out := s.startPlainIn("catania", "app-2")
	s.putConfig(config(1))
	s.awaitService("once", "", 20*time.Second)
	stop := s.load(40 * time.Millisecond)
	time.Sleep(5 * time.Second)
	s.await("an acknowledged evacuation", 10*time.Second, func() bool {
		resp, err := http.Post("http://"+s.seeds[0]+"/evacuate/catania", "", nil)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	acknowledged := time.Now()
	s.log("the evacuation of catania is acknowledged")
	time.Sleep(evacuateTime + time.Second)
	for range 3 {
		if s.trouble {
			odd := strings.Replace(out.heartbeat(), zoneField, "", 1)
			s.log("another writer sends for %s: %s: acknowledged %t", out.id, odd, out.tell(1, http.MethodPut, odd))
		}
		time.Sleep(1500 * time.Millisecond)
	}
	s.log("answers by status: %v", stop())
	n := out.since(acknowledged.Add(evacuateTime))
	s.log("%d requests reached %s, which is in catania, later than evacuate_ms", n, out.id)
	return n > 0
}
