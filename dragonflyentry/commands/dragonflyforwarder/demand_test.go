package dragonflyforwarder_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"dragonflyrelay.example/library/common/dragonflycompression"
	"dragonflyrelay.example/library/values/dragonflyendpoint"
	"dragonflyrelay.example/library/values/dragonflyfollowrequest"
	"dragonflyrelay.example/library/values/dragonflyfollowresponse"
	"dragonflyrelay.example/library/values/dragonflymodeldemand"
	. "github.com/smartystreets/goconvey/convey"
)

const modelDocument = `{"version":2,"routes":[
{"name":"s","host":"h","path_prefix":"/stream/","kind":"streaming","timeout_ms":3000,"goal_ms":2000,"service":"llm","max_attempts":2,"priority":1},
{"name":"i","host":"h","path_prefix":"/read/","kind":"idempotent","timeout_ms":1000,"goal_ms":500,"service":"app","max_attempts":2}],
"services":[{"name":"llm","engine":{"slots":48,"models":[{"name":"small","size":1,"share":1}]}},{"name":"app"}],"tenants":[{"name":"t1","api_keys":["k1"]}]}`

// demandEntry returns an entry with the endpoints, and a channel that receives the demands
// of its requests to control that have any.
func demandEntry(endpoints ...dragonflyendpoint.Endpoint) (*entry, <-chan []dragonflymodeldemand.Demand) {
	content, err := dragonflycompression.Compress([]byte(modelDocument))
	So(err, ShouldBeNil)
	demands := make(chan []dragonflymodeldemand.Demand, 64)
	amend := func(q dragonflyfollowrequest.Request, n *dragonflyfollowresponse.Response) {
		n.Version, n.Content = 2, content
		if len(q.Demands) > 0 {
			demands <- q.Demands
		}
	}
	return newEntryWithControl(0, nil, amend, endpoints...), demands
}

// next returns the next reported demands, nil if there are none within two seconds.
func next(demands <-chan []dragonflymodeldemand.Demand) []dragonflymodeldemand.Demand {
	select {
	case all := <-demands:
		return all
	case <-time.After(2 * time.Second):
		return nil
	}
}

func callModel(e *entry, path string) int {
	status, _, err := e.call("POST", path, "X-Model", "small", "X-Token-Count", "700,150")
	So(err, ShouldBeNil)
	return status
}

// smallHeads returns n heads of groups of the small model that respond with the step.
func smallHeads(s step, n int) (heads []dragonflyendpoint.Endpoint) {
	for i := range n {
		head := newUpstream(s).head(fmt.Sprint("head", i), "llm")
		head.Model = "small"
		heads = append(heads, head)
	}
	return heads
}

// assertRefused asserts that the part of the only reported work was refused.
func assertRefused(all []dragonflymodeldemand.Demand, part float64) {
	So(all, ShouldHaveLength, 1)
	So(all[0].Work, ShouldBeGreaterThan, 0)
	So(all[0].Refused, ShouldEqual, part*all[0].Work)
}

// TestDemand guards against an entry that does not report the work that arrives, or counts
// work as served that it has refused.
func TestDemand(t *testing.T) {
	Convey("Served streams are reported with the delay of their first events", t, func() {
		u := newUpstream(streamResponse(1, 3, true))
		head := u.head("a", "llm")
		head.Model = "small"
		e, demands := demandEntry(head)
		for i := range 5 {
			So(callModel(e, fmt.Sprint("/stream/", i)), ShouldEqual, http.StatusOK)
		}
		all := next(demands)
		So(all, ShouldHaveLength, 1)
		So(all[0].Service+" "+all[0].Model, ShouldEqual, "llm small")
		So(all[0].Rank, ShouldEqual, 1)
		So(all[0].Work, ShouldBeGreaterThan, 0)
		So(all[0].Refused, ShouldEqual, 0)
		So(all[0].Delay, ShouldBeBetween, 0, 1)
	})
	Convey("Requests that no group takes are reported as refused", t, func() {
		other := newUpstream(streamResponse(1, 3, true)).head("a", "llm")
		other.Model = "large"
		e, demands := demandEntry(other)
		So(callModel(e, "/stream/1"), ShouldEqual, http.StatusServiceUnavailable)
		all := next(demands)
		So(all, ShouldHaveLength, 1)
		So(all[0].Work, ShouldBeGreaterThan, 0)
		So(all[0].Refused, ShouldEqual, all[0].Work)
	})
	Convey("Requests that the groups refuse to run are reported as refused", t, func() {
		head := newUpstream(notRun).head("a", "llm")
		head.Model = "small"
		e, demands := demandEntry(head)
		So(callModel(e, "/stream/1"), ShouldEqual, http.StatusServiceUnavailable)
		all := next(demands)
		So(all, ShouldHaveLength, 1)
		So(all[0].Refused, ShouldEqual, all[0].Work)
	})
	Convey("Requests that as many groups refuse to run as are tried are reported as refused", t, func() {
		e, demands := demandEntry(smallHeads(notRun, 6)...)
		So(callModel(e, "/stream/1"), ShouldEqual, http.StatusServiceUnavailable)
		assertRefused(next(demands), 1)
	})
	Convey("Requests that groups refuse to run with a request for a pause are not", t, func() {
		e, demands := demandEntry(smallHeads(pausing("5"), 6)...)
		So(callModel(e, "/stream/1"), ShouldEqual, http.StatusServiceUnavailable)
		assertRefused(next(demands), 0)
	})
	Convey("Requests to groups that accept no connection are not", t, func() {
		heads := smallHeads(notRun, 1)
		heads[0].Address = "127.0.0.1:1"
		e, demands := demandEntry(heads...)
		So(callModel(e, "/stream/1"), ShouldEqual, http.StatusServiceUnavailable)
		assertRefused(next(demands), 0)
	})
	Convey("Requests that have lost an upstream are not, whatever another one answers", t, func() {
		heads := smallHeads(closeConnection, 2)
		heads[1].Address = smallHeads(notRun, 1)[0].Address
		e, demands := demandEntry(heads...)
		So(callModel(e, "/stream/1"), ShouldBeGreaterThanOrEqualTo, http.StatusBadGateway)
		assertRefused(next(demands), 0)
	})
	Convey("Requests to a plain service are not reported", t, func() {
		u := newUpstream(plainResponse("ok"))
		e, demands := demandEntry(u.endpoint("b", "app"))
		So(callModel(e, "/read/1"), ShouldEqual, http.StatusOK)
		So(next(demands), ShouldBeNil)
	})
}
