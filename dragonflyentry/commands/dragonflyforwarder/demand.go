package dragonflyforwarder

import (
	"dragonflyrelay.example/library/commands/dragonflydemandmeter"
	"dragonflyrelay.example/library/common/dragonflyduty"
	"dragonflyrelay.example/library/common/dragonflylatest"
	"dragonflyrelay.example/library/common/dragonflyring"
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

// reportRefusal reports that no endpoint can take the request. One that was sent before
// has lost its upstream, which says nothing about capacity.
func (q *request) reportRefusal() {
	if q.sends == 0 {
		q.reportDemand(dragonflydemandevent.Event{Kind: dragonflydemandevent.Refused})
	}
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
	ev.Service, ev.Model, ev.Rank, ev.Tokens = q.service.Name, q.Model, q.rank, float64(q.PromptTokens)
	_ = q.owner.demand.In.TryPut(ev)
}
