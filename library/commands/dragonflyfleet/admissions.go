package dragonflyfleet

import (
	"fmt"

	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflymodeladmission"
	"dragonflyrelay.example/library/values/dragonflymodeldemand"
	"dragonflyrelay.example/library/values/dragonflyoccurrence"
)

// WithAdmissionByRank returns the fleet, which decides by rank which requests for
// overloaded models all entries admit if decides is set.
func (f Fleet) WithAdmissionByRank(decides bool) Fleet {
	f.admitsByRank = decides
	return f
}

// Admissions returns the decisions for overloaded models. A fleet that does not lead has
// none.
func (f Fleet) Admissions() []dragonflymodeladmission.Admission { return f.overload.Admissions() }

// observeRanks passes the demands of the entry process to the decision on admission. Its
// reports of losses have none.
func (s *step) observeRanks(process string, demands []dragonflymodeldemand.Demand) {
	if s.leads && s.admitsByRank && len(demands) > 0 {
		s.overload = s.overload.WithDemands(s.now, process, demands)
	}
}

// decideAdmissions decides for the overloaded models once all entries have had time to
// report, and records the begin and the end of each overload.
func (s *step) decideAdmissions() {
	if !s.complete {
		return
	}
	before := overloaded(s.overload.Admissions())
	s.overload = s.overload.Corrected(s.now)
	after := overloaded(s.overload.Admissions())
	for k, a := range after.All() {
		if _, ok := before.Get(k); !ok {
			s.recordOverload("model-overloaded", a, fmt.Sprintf("rank %d and its fraction %.2f are admitted", a.Rank, a.Fraction))
		}
	}
	for k, a := range before.All() {
		if _, ok := after.Get(k); !ok {
			s.recordOverload("model-not-overloaded", a, "all requests are admitted")
		}
	}
}

func (s *step) recordOverload(event string, a dragonflymodeladmission.Admission, detail string) {
	s.occurrences = append(s.occurrences, dragonflyoccurrence.Occurrence{Event: event, Detail: "service " + a.Service + " model " + a.Model + ": " + detail})
}

// overloaded returns the decisions by service and model.
func overloaded(all []dragonflymodeladmission.Admission) (m dragonflymap.Map[string, dragonflymodeladmission.Admission]) {
	for _, a := range all {
		m = m.With(a.Service+" "+a.Model, a)
	}
	return m
}
