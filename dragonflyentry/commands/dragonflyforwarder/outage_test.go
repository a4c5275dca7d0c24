package dragonflyforwarder_test

import (
	"sync"
	"testing"
	"time"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyfollowrequest"
	"dragonflyrelay.example/library/values/dragonflyfollowresponse"
	. "github.com/smartystreets/goconvey/convey"
)

// outage is a control instance that does not lead from the first request with a limit on,
// for the given time. It records the ages of that limit.
type outage struct {
	lasts time.Duration
	over  chan struct{} // receives a value with each request after the outage

	mu   sync.Mutex
	from time.Time
	ages []dragonflyduration.Duration
}

func newOutage(lasts time.Duration) *outage {
	return &outage{lasts: lasts, over: make(chan struct{}, 64)}
}

// amend lets the instance not lead while the outage lasts.
func (o *outage) amend(q dragonflyfollowrequest.Request, n *dragonflyfollowresponse.Response) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(q.Limits) > 0 {
		o.ages = append(o.ages, q.Limits[0].Age)
		if o.from.IsZero() {
			o.from = time.Now()
		}
	}
	if o.from.IsZero() {
		return
	}
	if n.Leads = time.Since(o.from) > o.lasts; n.Leads {
		o.over <- struct{}{}
	}
}

func (o *outage) limitAges() []dragonflyduration.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]dragonflyduration.Duration(nil), o.ages...)
}

// startOutage returns an entry that has seen a limit in an answer of u, when the outage
// begins.
func startOutage(o *outage, u *upstream) *entry {
	e := newEntryWithControl(0, nil, o.amend, u.endpoint("a", "app"))
	assertResponse(e, "/once/1", 200, "ok")
	return e
}

// TestRequestsAfterOutage guards against an entry that sends a new leader what it has made
// up for an earlier one, as its present state.
func TestRequestsAfterOutage(t *testing.T) {
	limited := answer("200 OK", "Server-Limit: 5\r\nContent-Length: 2\r\n\r\nok")
	Convey("The age of a limit that a new leader gets counts the time without a leader", t, func() {
		o := newOutage(1200 * time.Millisecond)
		startOutage(o, newUpstream(limited))
		<-o.over
		ages := o.limitAges()
		So(len(ages), ShouldBeGreaterThan, 2)
		So(ages[len(ages)-1].Seconds(), ShouldBeGreaterThan, 1)
	})
	Convey("Keys are honoured again with the first response of a leader", t, func() {
		o := newOutage(2500 * time.Millisecond)
		e := startOutage(o, newUpstream(limited))
		status := 200
		for status != 503 {
			So(len(o.over), ShouldEqual, 0)
			time.Sleep(20 * time.Millisecond)
			var err error
			status, _, err = e.call("POST", "/once/2")
			So(err, ShouldBeNil)
		}
		<-o.over
		// The first response comes at once, the next one half a second after it.
		for from := time.Now(); status != 200 && time.Since(from) < 350*time.Millisecond; {
			var err error
			status, _, err = e.call("POST", "/once/3")
			So(err, ShouldBeNil)
		}
		So(status, ShouldEqual, 200)
	})
}
