// Package dragonflydemandmeter measures the work that arrives at an entry by service,
// model and rank. The load that it addresses is work whose distribution over the models
// differs from the configured shares: the leader sees only what groups are serving, not
// what entries refuse.
package dragonflydemandmeter

import (
	"fmt"
	"math"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflydemandevent"
	"dragonflyrelay.example/library/values/dragonflymodeldemand"
)

const (
	// averagingTime is the time constant of the measured rates. Entries report at least
	// every 0.5 s, and the leader does the smoothing: a longer time would make a burst
	// look longer than it is.
	averagingTime = 500 * dragonflyduration.Millisecond
	// maxRows bounds the combinations of service, model and rank. Further ones are not
	// measured until an old one has no work any more.
	maxRows = 64
	// negligible is the work, in tokens a second, below which a row is dropped.
	negligible = 0.5
)

// row is the measurement of one service, model and rank. The sums decay exponentially with
// averagingTime.
type row struct {
	service, model string
	rank           int
	at             dragonflyinstant.Instant
	work, refused  float64 // prompt tokens
	delays, begun  float64 // sum of the delays of first events, and their number
}

// Meter is the measurement of one entry. The zero Meter has measured nothing.
type Meter struct {
	rows dragonflymap.Map[string, row]
}

// Step returns the meter after the event ev, which occurred at now. It has no actions.
func (m Meter) Step(now dragonflyinstant.Instant, ev dragonflydemandevent.Event) (next Meter, none []struct{}) {
	key := fmt.Sprintf("%s %s %d", ev.Service, ev.Model, ev.Rank)
	r, ok := m.rows.Get(key)
	if !ok {
		if m.rows.Len() >= maxRows {
			m = m.withoutNegligible(now)
		}
		if m.rows.Len() >= maxRows {
			return m, nil
		}
		r = row{service: ev.Service, model: ev.Model, rank: ev.Rank, at: now}
	}
	r = r.decayed(now)
	switch ev.Kind {
	case dragonflydemandevent.Arrived:
		r.work += ev.Tokens + dragonflymodeldemand.DecodeTokens
	case dragonflydemandevent.Refused:
		r.refused += ev.Tokens + dragonflymodeldemand.DecodeTokens
	case dragonflydemandevent.Began:
		r.delays, r.begun = r.delays+ev.Delay, r.begun+1
	}
	m.rows = m.rows.With(key, r)
	return m, nil
}

// Demands returns the work of the recent past, by service, model and rank.
func (m Meter) Demands(now dragonflyinstant.Instant) (all []dragonflymodeldemand.Demand) {
	for _, r := range m.rows.All() {
		if r = r.decayed(now); r.isNegligible() {
			continue
		}
		d := dragonflymodeldemand.Demand{
			Service: r.service, Model: r.model, Rank: r.rank, Work: r.work / averagingTime.Seconds(),
		}
		// A request is refused a little later than it arrives, and has decayed less.
		d.Refused = min(r.refused/averagingTime.Seconds(), d.Work)
		if r.begun > 0 {
			d.Delay = r.delays / r.begun
		}
		all = append(all, d)
	}
	return all
}

// withoutNegligible drops the rows without recent work.
func (m Meter) withoutNegligible(now dragonflyinstant.Instant) Meter {
	for key, r := range m.rows.All() {
		if r.decayed(now).isNegligible() {
			m.rows = m.rows.Without(key)
		}
	}
	return m
}

func (r row) isNegligible() bool { return r.work/averagingTime.Seconds() < negligible }

// decayed returns r at now.
func (r row) decayed(now dragonflyinstant.Instant) row {
	passed := max(now.Sub(r.at), 0)
	f := math.Exp(-passed.Seconds() / averagingTime.Seconds())
	r.work, r.refused, r.delays, r.begun = r.work*f, r.refused*f, r.delays*f, r.begun*f
	r.at = max(r.at, now)
	return r
}
