// Package dragonflyoverload decides on the leader which requests all entries admit for a
// model that is overloaded. It addresses some seconds in which more work arrives than the
// groups of the model do within the objectives: entries that refuse requests alone refuse
// the most urgent as often as the least urgent.
package dragonflyoverload

import (
	"slices"

	"dragonflyrelay.example/library/commands/dragonflyrankadmission"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflymodeladmission"
	"dragonflyrelay.example/library/values/dragonflymodeldemand"
)

const (
	// demandValidFor is the time after which the demand of an entry that does not report
	// any more no longer counts.
	demandValidFor = 2 * dragonflyduration.Second
	// correctionInterval is the time between two decisions. Each entry reports at least
	// every 0.5 s, most of them earlier.
	correctionInterval = 200 * dragonflyduration.Millisecond
	// overloadRefused is the refused part of the work above which a model is overloaded, and
	// endRefused that below which it no longer is.
	overloadRefused = 0.03
	endRefused      = 0.01
	// lateDelay is the mean time to the first event, as a fraction of the objective, above
	// which more is refused than the entries refuse at present, and below which less, by
	// delayGain for each objective and at most by mostExtra more. It is the target of the
	// entries' own decisions.
	lateDelay = 0.65
	delayGain = 0.3
	mostExtra = 0.3
	// mostRefused bounds the refused part of the work.
	mostRefused = 0.9
)

// report is the latest demand of an entry.
type report struct {
	at      dragonflyinstant.Instant
	demands []dragonflymodeldemand.Demand
}

// total is the demand of all entries for one model.
type total struct {
	service, model string
	ranks          dragonflymap.Map[int, float64] // work by rank
	work, refused  float64
	delay, delayed float64 // sum of delays by work, and the work that has one
}

// overload is the state of a model with requests of several ranks.
type overload struct {
	refused   float64 // part of the work that is to be refused
	updatedAt dragonflyinstant.Instant
	active    bool
	admission dragonflymodeladmission.Admission // while active
}

// Overload is the state of all models. The zero Overload knows of no demand.
type Overload struct {
	reports dragonflymap.Map[string, report]   // by entry
	models  dragonflymap.Map[string, overload] // by service and model
}

// WithDemands returns the state with the demands that the entry has reported at now.
func (o Overload) WithDemands(now dragonflyinstant.Instant, entry string, demands []dragonflymodeldemand.Demand) Overload {
	o.reports = o.reports.With(entry, report{at: now, demands: demands})
	return o
}

// Corrected returns the state with the decisions at now.
func (o Overload) Corrected(now dragonflyinstant.Instant) Overload {
	for entry, r := range o.reports.All() {
		if now.Sub(r.at) > demandValidFor {
			o.reports = o.reports.Without(entry)
		}
	}
	totals := o.totals()
	for k := range o.models.All() {
		if _, ok := totals.Get(k); !ok {
			o.models = o.models.Without(k)
		}
	}
	for k, t := range totals.All() {
		m, _ := o.models.Get(k)
		o.models = o.models.With(k, m.corrected(now, t))
	}
	return o
}

// Admissions returns the decisions for the overloaded models.
func (o Overload) Admissions() (all []dragonflymodeladmission.Admission) {
	for _, m := range o.models.All() {
		if m.active {
			all = append(all, m.admission)
		}
	}
	return all
}

// totals returns the demand by service and model.
func (o Overload) totals() (all dragonflymap.Map[string, total]) {
	for _, r := range o.reports.All() {
		for _, d := range r.demands {
			k := d.Service + " " + d.Model
			t, _ := all.Get(k)
			t.service, t.model = d.Service, d.Model
			work, _ := t.ranks.Get(d.Rank)
			t.ranks = t.ranks.With(d.Rank, work+d.Work)
			t.work, t.refused = t.work+d.Work, t.refused+d.Refused
			if served := d.Work - d.Refused; d.Delay > 0 && served > 0 {
				t.delay, t.delayed = t.delay+d.Delay*served, t.delayed+served
			}
			all = all.With(k, t)
		}
	}
	return all
}

// corrected returns the state of a model with the demand t at now.
func (m overload) corrected(now dragonflyinstant.Instant, t total) overload {
	if t.ranks.Len() < 2 || t.work <= 0 {
		return overload{}
	}
	if m.updatedAt != 0 && now.Sub(m.updatedAt) < correctionInterval {
		return m
	}
	m.updatedAt = now
	refused := t.refused / t.work
	if t.delayed > 0 {
		refused += min(delayGain*(t.delay/t.delayed-lateDelay), mostExtra)
	}
	m.refused = min(max(refused, 0), mostRefused)
	if m.active = m.refused > overloadRefused || m.active && m.refused > endRefused; m.active {
		m.admission = t.admission((1 - m.refused) * t.work)
	}
	return m
}

// admission returns the decision that admits the given work: each rank gets its least
// share, and the rest goes to the ranks in order.
func (t total) admission(admitted float64) dragonflymodeladmission.Admission {
	least := dragonflyrankadmission.LeastShare * min(admitted/t.work, 1)
	rest := max(admitted-least*t.work, 0)
	a := dragonflymodeladmission.Admission{Service: t.service, Model: t.model, Fraction: 1}
	for _, rank := range t.order() {
		work, _ := t.ranks.Get(rank)
		a.Rank = rank
		if more := (1 - least) * work; more < rest {
			rest -= more
			continue
		}
		a.Fraction = 1
		if work > 0 {
			a.Fraction = min(least+rest/work, 1)
		}
		break
	}
	return a
}

// order returns the ranks, the most urgent one first.
func (t total) order() (ranks []int) {
	for rank := range t.ranks.All() {
		ranks = append(ranks, rank)
	}
	slices.Sort(ranks)
	return ranks
}
