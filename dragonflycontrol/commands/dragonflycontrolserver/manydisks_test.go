package dragonflycontrolserver_test

import (
	"expvar"
	"strings"
	"testing"
	"time"

	"dragonflyrelay.example/dragonflycontrol/commands/dragonflycontrolserver"
	. "github.com/smartystreets/goconvey/convey"
)

// newFewSenders returns a deployment whose instances send to at most three peers at a time, and
// stop sending to one that they have had no message for in half a second.
func newFewSenders(t *testing.T) *deployment {
	c := &deployment{port: freePeerPort(), dirs: map[string]string{}, stops: map[string]func(){}}
	c.change = func(s *dragonflycontrolserver.Server) { s.MaxSenders, s.SenderIdle = 3, 500*time.Millisecond }
	for _, ip := range []string{"127.0.0.21", "127.0.0.22", "127.0.0.23"} {
		c.dirs[ip] = t.TempDir()
		c.start(ip, true)
	}
	return c
}

// exportedSenders returns the number of senders whose depth is exported.
func exportedSenders() (n int) {
	expvar.Get("dragonfly-ring-depth").(*expvar.Map).Do(func(kv expvar.KeyValue) {
		if strings.HasPrefix(kv.Key, "sender-") {
			n++
		}
	})
	return n
}

// TestManyLostDisks guards against control instances that cannot come back after a machine has
// lost its disk many times: each time it has a new name, to which messages are sent.
func TestManyLostDisks(t *testing.T) {
	Convey("An instance that loses its disk again and again is a member each time, and so is another one after it", t, func() {
		before := exportedSenders()
		c := newFewSenders(t)
		for i := range 6 {
			c.callUntil(200, "127.0.0.21", "PUT", "/config", routingDocument(i+1))
			c.restartEmpty("127.0.0.23")
			c.assertRead(i + 1)
		}
		c.restartEmpty("127.0.0.22")
		c.assertRead(6)
		c.callUntil(200, "127.0.0.23", "PUT", "/config", routingDocument(9))
		c.assertRead(9)
		// Three instances in this process send to two peers each, and to those replaced last.
		time.Sleep(time.Second)
		So(exportedSenders()-before, ShouldBeLessThanOrEqualTo, 6)
	})
}
