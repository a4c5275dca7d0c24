package dragonflyplanstart_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/queries/dragonflyplanstart"
	. "github.com/smartystreets/goconvey/convey"
)

const ms = dragonflyduration.Millisecond

// outage returns the view of a leader that knows all engines of three domains, none of which
// is in a group.
func outage(led, quiet dragonflyduration.Duration) dragonflyplanstart.View {
	return dragonflyplanstart.View{Led: led, Quiet: quiet, Domains: 3}
}

// start is the result of View.Start.
type start struct{ mayForm, onlyStaged bool }

var (
	wait       = start{}
	fromStaged = start{true, true}
	fromAny    = start{true, false}
)

func assertStart(v dragonflyplanstart.View, want start) {
	mayForm, onlyStaged := v.Start()
	So(start{mayForm, onlyStaged}, ShouldResemble, want)
}

// TestStart guards against callers who are refused for longer than necessary after a full
// outage, and against groups that are formed before the leader knows of those at work.
func TestStart(t *testing.T) {
	Convey("After a full outage, groups form of staged weights once all engines are known", t, func() {
		assertStart(outage(300*ms, 200*ms), fromStaged)
		assertStart(outage(300*ms, 199*ms), wait)
		assertStart(outage(299*ms, 299*ms), wait)
	})
	Convey("An engine that is not heard of completely is waited for until the others have settled", t, func() {
		v := outage(700*ms, 499*ms)
		v.Incomplete = 1
		assertStart(v, wait)
		v.Quiet = 500 * ms
		assertStart(v, fromStaged)
	})
	Convey("A change of leader alone waits for the reports of the groups at work", t, func() {
		v := outage(1499*ms, 1499*ms)
		v.HasGroups = true
		assertStart(v, wait)
		v.Led = 1500 * ms
		assertStart(v, fromAny)
	})
	Convey("A leader that knows a single domain waits for the others", t, func() {
		v := outage(1499*ms, 1499*ms)
		v.Domains = 1
		assertStart(v, wait)
	})
	Convey("Weights are loaded from the store as before", t, func() {
		assertStart(outage(1500*ms, 500*ms), fromAny)
		v := outage(1500*ms, 0)
		assertStart(v, wait)
		v.HasTraffic = true
		assertStart(v, fromAny)
		assertStart(outage(4000*ms, 0), fromAny)
	})
}

func ExampleView_Start() {
	v := dragonflyplanstart.View{Led: 400 * ms, Quiet: 250 * ms, Domains: 3}
	fmt.Println(v.Start())
	v.HasGroups = true
	fmt.Println(v.Start())
	// Output:
	// true true
	// false false
}

// TestAllIn guards against estimates that count on hosts without weights while others may not
// have reported.
func TestAllIn(t *testing.T) {
	Convey("It is the time until groups of any hosts are formed", t, func() {
		So(outage(400*ms, 300*ms).AllIn(), ShouldEqual, 1100*ms)
		So(outage(1400*ms, 100*ms).AllIn(), ShouldEqual, 400*ms)
		So(outage(1600*ms, 100*ms).AllIn(), ShouldEqual, 400*ms)
		So(outage(1600*ms, 600*ms).AllIn(), ShouldEqual, 0)
		So(outage(4*dragonflyduration.Second, 0).AllIn(), ShouldEqual, 0)
	})
}
