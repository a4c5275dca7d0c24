package dragonflyforwarder

import (
	"dragonflyrelay.example/library/commands/dragonflydemandmeter"
	"dragonflyrelay.example/library/common/dragonflyduty"
	"dragonflyrelay.example/library/common/dragonflylatest"
	"dragonflyrelay.example/library/common/dragonflyring"
	"dragonflyrelay.example/library/values/dragonflychoice"
	"dragonflyrelay.example/library/values/dragonflydemandevent"
)

// demandRingSize is enough for the events of a burst of requests. Further ones are dropped
// and counted as refusals of the ring.
const demandRingSize = 1024

// demandDuty owns the meter of the work by model and is its only user.
type demandDuty struct {
	dragonflyduty.Duty[dragonflydemandmeter.Meter, dragonflydemandevent.Event, struct{}]
	latest dragonflylatest.Latest[dragonflydemandmeter.Meter]
}

func newDemandDuty(s *Server) *demandDuty {
	d := &demandDuty{}
	d.In = dragonflyring.New[dragonflydemandevent.Event]("demand", demandRingSize)
	d.Step, d.Publish, d.Clock = dragonflydemandmeter.Meter.Step, d.latest.Store, s.Clock
	return d
}

// reportArrival reports that the request is about to be sent to an upstream.
func (q *request) reportArrival() {
	q.reportDemand(dragonflydemandevent.Event{Kind: dragonflydemandevent.Arrived})
}

// reportRefusal reports that the request is refused for lack of capacity: c is the last
// choice, and expired whether the time of the request was over before there was one. One
// that has lost an upstream says nothing about capacity, nor does one that an upstream has
// refused to run with a request for a pause, or whose caller has left.
func (q *request) reportRefusal(c dragonflychoice.Choice, expired bool) {
	lacks := expired || c.LacksCapacity() || q.wasRefused && (c.OK || c.Absent)
	if !lacks || q.lostAt != 0 || q.r.Context().Err() != nil {
		return
	}
	q.reportDemand(dragonflydemandevent.Event{Kind: dragonflydemandevent.Refused})
}

// reportFirstEvent reports the time to the first event that the caller was sent.
func (q *request) reportFirstEvent() {
	if q.route.Objective > 0 {
		q.reportDemand(dragonflydemandevent.Event{
			Kind: dragonflydemandevent.Began, Delay: float64(q.timeToFirstEvent) / float64(q.route.Objective),
		})
	}
}

// reportDemand passes ev with the class of the request on. Only services with groups have
// models to plan for.
func (q *request) reportDemand(ev dragonflydemandevent.Event) {
	if !q.service.Grouped() {
		return
	}
	ev.Service, ev.Model, ev.Rank, ev.Tokens = q.service.Name, q.servedModel(), q.rank, float64(q.PromptTokens)
	_ = q.owner.demand.In.TryPut(ev)
}
