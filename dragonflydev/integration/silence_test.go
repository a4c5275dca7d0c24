package dragonflyintegration_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// sendStreams starts a stream through the entries in turn every 10 ms for the given time,
// and returns how many of all were answered whole.
func sendStreams(d *deployment, length time.Duration) (whole, all int) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); all++ {
		entry, id := all%len(d.entries), fmt.Sprintf("q%d", all)
		calls.Go(func() {
			ok := d.call(entry, id, "").complete
			mu.Lock()
			defer mu.Unlock()
			if ok {
				whole++
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	calls.Wait()
	return whole, all
}

// TestSilentHead guards against streams in progress that are cut because the head of the
// only group is silent for a second.
func TestSilentHead(t *testing.T) {
	Convey("Given a deployment with one group", t, func() {
		d := newDeployment(t, 3, 2)
		heads := d.fleet.Heads()
		So(heads, ShouldHaveLength, 1)

		Convey("streams in progress are whole though its head is silent for a second", func() {
			time.AfterFunc(400*time.Millisecond, func() { d.fleet.Silence(heads[0], time.Second) })
			whole, all := sendStreams(d, 350*time.Millisecond)
			So(whole, ShouldEqual, all)
			So(d.fleet.Heads(), ShouldResemble, heads)
			So(d.fleet.Violations(), ShouldBeEmpty)
		})
	})
}
