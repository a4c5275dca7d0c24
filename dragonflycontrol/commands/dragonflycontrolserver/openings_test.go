package dragonflycontrolserver_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// engineDocument names a service whose groups have two engines.
const engineDocument = `{"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/","kind":"streaming","timeout_ms":100,"service":"llm"}],` +
	`"services":[{"name":"llm","engine":{"slots":48,"models":[{"name":"m","size":2,"share":1,"pace":1,"load_s":10,"warmup_s":1}],"loads_per_s":3,"loads_at_once":6,"form_ms":300}}]}`

// beat sends a heartbeat of each of the two engines of an open group to the instance at ip.
func (c *deployment) beat(ip string, sequence int) {
	for rank, state := range []string{"open", "ready"} {
		body := fmt.Sprintf(`{"service":"llm","address":"10.0.0.%d:1","zone":"z","domain":"d","slots":48,"state":"ready","born":1,"seq":%d,"models":[{"name":"m"}],`+
			`"group":{"name":"g1","epoch":1,"rank":%d,"state":%q}}`, rank+1, sequence, rank, state)
		c.callUntil(200, ip, "PUT", fmt.Sprintf("/servers/i-%d", rank+1), body)
	}
}

// assertRecordedOnce checks that the timeline at path has one record of openings, that of the group.
func assertRecordedOnce(path, group string) {
	raw, err := os.ReadFile(path)
	So(err, ShouldBeNil)
	So(strings.Count(string(raw), `"openings-accepted"`), ShouldEqual, 1)
	So(string(raw), ShouldContainSubstring, fmt.Sprintf("groups [%s]", group))
}

// TestOpenings guards against openings of groups that are not recorded in the log, and against
// leaders that record again what an earlier one has recorded.
func TestOpenings(t *testing.T) {
	Convey("The opening of a group is recorded once, also if the leader changes", t, func() {
		c := &deployment{port: freePeerPort(), dirs: map[string]string{}, stops: map[string]func(){}}
		events := map[string]string{}
		for _, ip := range []string{"127.0.0.21", "127.0.0.22", "127.0.0.23"} {
			c.dirs[ip] = t.TempDir()
			events[ip] = filepath.Join(t.TempDir(), "events")
			s := c.server(ip, true)
			s.Settings.Timeline = events[ip]
			c.run(ip, s)
		}
		c.callUntil(200, "127.0.0.21", "PUT", "/config", engineDocument)
		sequence := 0
		assertWithin(5*time.Second, func() bool {
			sequence++
			c.beat("127.0.0.21", sequence)
			for _, path := range events {
				if raw, _ := os.ReadFile(path); !strings.Contains(string(raw), `"openings-accepted"`) {
					return false
				}
			}
			return true
		})
		for _, ip := range []string{"127.0.0.21", "127.0.0.22"} { // At least one of two leaders stops.
			c.stops[ip]()
			c.start(ip, false)
			for range 20 {
				sequence++
				c.beat("127.0.0.23", sequence)
				time.Sleep(100 * time.Millisecond)
			}
		}
		assertRecordedOnce(events["127.0.0.23"], "g1")
	})
}
