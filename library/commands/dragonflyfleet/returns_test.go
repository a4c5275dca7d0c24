package dragonflyfleet_test

import (
	"slices"
	"testing"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyenginegroup"
	"dragonflyrelay.example/library/values/dragonflyfleetevent"
	"dragonflyrelay.example/library/values/dragonflyfollowresponse"
	"dragonflyrelay.example/library/values/dragonflyserverorder"
	. "github.com/smartystreets/goconvey/convey"
)

// estimate is an estimated instant for a model, and when it was made.
type estimate struct {
	model  string
	at, of dragonflyinstant.Instant
}

// recovery is the course of an outage until all groups serve.
type recovery struct {
	*simulation
	joinedAt, orderedAt map[*engine]dragonflyinstant.Instant // to join, and to open
	servedAt            map[string]dragonflyinstant.Instant  // by model
	estimates           []estimate
	wakes               int // changes of the table's revision without a change of its rows
}

func newRecovery() *recovery {
	r := &recovery{
		simulation: newOutage(), servedAt: map[string]dragonflyinstant.Instant{},
		joinedAt: map[*engine]dragonflyinstant.Instant{}, orderedAt: map[*engine]dragonflyinstant.Instant{},
	}
	for _, e := range r.engines {
		e.slowToOpen = true
	}
	return r
}

// play plays the outage for d. Engines join within the time from the host of their model, and
// heads open 0.3 s after the order.
func (r *recovery) play(d dragonflyduration.Duration) {
	warmup := map[string]dragonflyduration.Duration{"large": 8 * second / 5, "small": 11 * second / 10}
	for range int(d / (second / 10)) {
		rows, revision := r.rows(), r.fleet.WithTable(dragonflyfollowresponse.Response{}, 0, 0).Revision
		for _, e := range r.engines {
			if e.obs.Group.State == dragonflyenginegroup.Joining && r.joinedAt[e] == 0 {
				r.joinedAt[e] = r.now
			}
			if at := r.joinedAt[e]; at != 0 && e.obs.Group.State == dragonflyenginegroup.Joining && r.now.Sub(at) >= warmup[e.obs.Model] {
				e.obs.Group.State = dragonflyenginegroup.Ready
			}
			if r.fleet.Order(e.obs.Address).Kind == dragonflyserverorder.Open && r.orderedAt[e] == 0 {
				r.orderedAt[e] = r.now
			}
			if at := r.orderedAt[e]; at != 0 && r.now.Sub(at) >= 3*second/10 {
				e.obs.Group.State = dragonflyenginegroup.Open
			}
		}
		r.advance(second / 10)
		for _, ret := range r.fleet.Returns(r.now) {
			So(ret.Service, ShouldEqual, "llm")
			r.estimates = append(r.estimates, estimate{ret.Model, r.now, r.now.Add(ret.In)})
		}
		for _, row := range r.rows() {
			if r.servedAt[row.Model] == 0 {
				r.servedAt[row.Model] = r.now
			}
		}
		if slices.Equal(rows, r.rows()) && r.fleet.WithTable(dragonflyfollowresponse.Response{}, 0, 0).Revision != revision {
			r.wakes++
		}
	}
}

// assertEstimates checks that, from the given time on, each estimate names the instant at which
// the model was served, to within 0.4 s, and that there is one until then and none after it.
func assertEstimates(r *recovery, from dragonflyinstant.Instant) {
	count := map[string]int{}
	for _, e := range r.estimates {
		if e.at < from {
			continue
		}
		count[e.model]++
		So(e.of.Sub(r.servedAt[e.model]), ShouldBeBetween, -4*second/10, 4*second/10)
	}
	for model, at := range r.servedAt {
		So(count[model], ShouldEqual, int((at.Sub(from)-1)/(second/10))+1)
	}
}

// TestReturns guards against requests that are refused, or wait in vain, because entries learn
// of the return of a model too late or wrongly.
func TestReturns(t *testing.T) {
	Convey("After a full outage, the estimates name the instants at which the models are served", t, func() {
		r := newRecovery()
		began := r.now
		r.play(3 * second)
		So(r.servedAt["large"].Sub(began), ShouldBeLessThan, 26*second/10)
		So(r.servedAt["small"].Sub(began), ShouldBeLessThan, 21*second/10)
		assertEstimates(r, began.Add(second/10))
	})
	Convey("Changes of the estimates alone wake the entries a few times in a whole outage", t, func() {
		r := newRecovery()
		r.play(3 * second)
		So(r.wakes, ShouldBeBetween, 0, 6)
	})
	Convey("A model that is served by a group has no estimate, and neither has one on a follower", t, func() {
		r := newRecovery()
		r.play(3 * second)
		So(r.fleet.Returns(r.now), ShouldBeEmpty)
		r.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Followed})
		So(r.fleet.Returns(r.now), ShouldBeEmpty)
	})
	Convey("A leader that knows no engine yet gives an estimate, and none once it has planned without any", t, func() {
		s := newOutage()
		s.engines = nil
		s.advance(second / 10)
		So(s.fleet.Returns(s.now), ShouldHaveLength, 2)
		s.advance(5 * second)
		So(s.fleet.Returns(s.now), ShouldBeEmpty)
	})
}
