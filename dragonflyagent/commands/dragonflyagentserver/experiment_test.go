package dragonflyagentserver_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"dragonflyrelay.example/dragonflyagent/commands/dragonflyagentserver"
	"dragonflyrelay.example/dragonflyagent/values/dragonflyagentsettings"
	"dragonflyrelay.example/library/values/dragonflyannouncement"
	"dragonflyrelay.example/library/values/dragonflyconfig"
	"dragonflyrelay.example/library/values/dragonflyreport"
	. "github.com/smartystreets/goconvey/convey"
)

// TestExperimentSeams guards the fields of Server on which the bench's experiments rely:
// Adopted must be called for each configuration version, and Crash must send no last
// report.
func TestExperimentSeams(t *testing.T) {
	Convey("Adopted is called with each new configuration version, and a crash sends no report that the agent is leaving", t, func() {
		c := startControl(t)
		c.set(func(c *control) { c.config = dragonflyconfig.Config{}.WithVersion(3) })
		var version atomic.Uint64
		crash := make(chan struct{})
		srv := &dragonflyagentserver.Server{
			Settings: dragonflyagentsettings.Settings{
				Instance: "i1", Listen: "127.0.0.1:0", UpstreamListen: "127.0.0.1:0", Control: []string{c.address}, Key: key,
			},
			Adopted: version.Store, Crash: crash,
		}
		ended := make(chan error, 1)
		go func() { ended <- srv.Run(context.Background()) }()
		assertWithin(5*time.Second, "version 3 is adopted", func() bool { return version.Load() == 3 })
		c.set(func(c *control) { c.config = c.config.WithVersion(4) })
		assertWithin(5*time.Second, "version 4 is adopted", func() bool { return version.Load() == 4 })

		var leaving atomic.Bool
		c.set(func(c *control) {
			c.orderFor = func(r dragonflyreport.Report) {
				if r.Announcement.State == dragonflyannouncement.Leaving {
					leaving.Store(true)
				}
			}
		})
		close(crash)
		So(<-ended, ShouldBeNil)
		So(leaving.Load(), ShouldBeFalse)
	})
}
