package dragonflyentryserver_test

import (
	"context"
	"sync/atomic"
	"testing"

	"dragonflyrelay.example/dragonflyentry/commands/dragonflyentryserver"
	"dragonflyrelay.example/dragonflyentry/queries/dragonflyentrysettings"
	"dragonflyrelay.example/library/values/dragonflytable"
	. "github.com/smartystreets/goconvey/convey"
)

// TestConfigAdopted guards against a version that is not reported: the measurement of
// how fast changes come into force relies on one call for each version.
func TestConfigAdopted(t *testing.T) {
	Convey("An entry reports each configuration version once it routes by it", t, func() {
		c := newControl(t)
		var version atomic.Uint64
		ctx, cancel := context.WithCancel(context.Background())
		srv := &dragonflyentryserver.Server{
			Settings: dragonflyentrysettings.Settings{Listen: "127.0.0.1:0", Zone: "zona-a", Key: internalKey, Control: []string{c.addr}},
			Adopted:  version.Store,
		}
		ended := make(chan error, 1)
		go func() { ended <- srv.Run(ctx) }()
		eventually(t, "version 1 is adopted", func() bool { return version.Load() == 1 })
		c.changeTable(func(t dragonflytable.Table) dragonflytable.Table {
			t.Config = t.Config.WithVersion(2)
			return t
		})
		eventually(t, "version 2 is adopted", func() bool { return version.Load() == 2 })
		cancel()
		So(<-ended, ShouldBeNil)
	})
}
