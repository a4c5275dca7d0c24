package dragonflyfleet

import (
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyobservation"
)

// reservationTime is how long engines are kept for the group for which others are drained:
// the drain, and the time in which the members of the ended group leave it.
const reservationTime = DrainTimeout + ReportWindow

// reservation is the model that an engine is kept for.
type reservation struct {
	model string
	until dragonflyinstant.Instant
}

// reserve keeps the engines for a group of the model. Otherwise its plan would be undone: the
// free ones would form a group of the model that gives them, before the others have left.
func (s *step) reserve(engines []dragonflyobservation.Observation, model string) {
	for _, o := range engines {
		s.reservations = s.reservations.With(o.ID, reservation{model: model, until: s.now.Add(reservationTime)})
	}
}

// reserved returns the models that engines are kept for, by engine id.
func (s *step) reserved() (models map[string]string) {
	models = map[string]string{}
	for id, r := range s.reservations.All() {
		if s.now > r.until {
			s.reservations = s.reservations.Without(id)
			continue
		}
		models[id] = r.model
	}
	return models
}

// endReservations ends those for the model, which has got a group.
func (s *step) endReservations(model string) {
	for id, r := range s.reservations.All() {
		if r.model == model {
			s.reservations = s.reservations.Without(id)
		}
	}
}
