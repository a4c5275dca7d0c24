package dragonflyintegration_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	// limitWindow is the time over which the requests to a limited upstream are counted.
	limitWindow = 4 * time.Second
	// limitExcess and limitSlack bound them: the limit times limitExcess, and limitSlack.
	limitExcess = 1.5
	limitSlack  = 5
)

// sendSound sends a request through each entry in turn every 40 ms for the given time, and
// returns how many were answered whole.
func sendSound(d *deployment, name string, length time.Duration) (whole, all int) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); all++ {
		entry, id := all%len(d.entries), fmt.Sprintf("%s%d", name, all)
		calls.Go(func() {
			ok := d.call(entry, id, "").complete
			mu.Lock()
			defer mu.Unlock()
			if ok {
				whole++
			}
		})
		time.Sleep(40 * time.Millisecond)
	}
	calls.Wait()
	return whole, all
}

// assertWithinLimit checks that an upstream that named its limit at named got no more than
// it allows in any window, from spreadTime after that.
func assertWithinLimit(arrivals []time.Time, named time.Time, rate float64) {
	most := 0
	for i, from := range arrivals {
		if from.Before(named.Add(spreadTime)) {
			continue
		}
		n := 0
		for _, at := range arrivals[i:] {
			if at.Before(from.Add(limitWindow)) {
				n++
			}
		}
		most = max(most, n)
	}
	So(float64(most), ShouldBeLessThanOrEqualTo, limitExcess*rate*limitWindow.Seconds()+limitSlack)
	So(len(arrivals), ShouldBeGreaterThan, 0)
}

// TestNamedLimit guards against an upstream that gets more requests from all entries
// together than the limit that it names.
func TestNamedLimit(t *testing.T) {
	Convey("Given a deployment with two groups, the head of one of which names a limit", t, func() {
		const rate = 2
		d := newDeployment(t, 7, 3)
		So(d.eventually(10*time.Second, func() bool { return len(d.fleet.Heads()) == 2 }), ShouldBeTrue)
		limited := d.fleet.Heads()[0]
		d.fleet.SetLimit(limited, rate)
		named := time.Now()

		Convey("it gets no more than the limit, and the other one serves", func() {
			whole, all := sendSound(d, "s", 10*time.Second)
			assertWithinLimit(d.fleet.Limited(limited), named, rate)
			So(whole, ShouldBeGreaterThan, all*9/10)
		})
		Convey("it gets its share again once its answers name no limit", func() {
			sendSound(d, "s", 2*time.Second)
			d.fleet.SetLimit(limited, 0)
			sendSound(d, "t", 3*time.Second)
			d.fleet.SetLimit(limited, 0)
			_, all := sendSound(d, "u", 2*time.Second)
			So(len(d.fleet.Limited(limited)), ShouldBeGreaterThan, all/4)
		})
	})
}
