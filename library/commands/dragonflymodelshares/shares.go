// Package dragonflymodelshares decides, on the leading control instance, which share of
// the engines of a service each model is to have. The load that it addresses is work
// whose distribution over the models differs from the configured shares for longer than a
// burst, so that one model refuses requests while groups of another stand idle.
package dragonflymodelshares

import (
	"math"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflymodeldemand"
	"dragonflyrelay.example/library/values/dragonflymodelload"
)

const (
	// ReportExpiry is the age at which the report of an entry no longer counts. Entries
	// report at least every 0.5 s.
	ReportExpiry = 2 * dragonflyduration.Second
	// EvidenceTime is how long all entries in touch must have reported before their demand
	// replaces the configured shares, so that the averages describe more than a burst.
	EvidenceTime = 5 * dragonflyduration.Second
	// EvidenceLimit is how long some entry must always have reported for the evidence to be
	// complete also if others have not reported for EvidenceTime. Entries that start one
	// after the other would delay it without end.
	EvidenceLimit = 15 * dragonflyduration.Second
	// ShortTime is the time for which a model must lack capacity before it counts as short.
	// A burst of 3 s is followed by up to 1.7 s in which the averages of the entries fall
	// below refusedLimit and are reported, and by some seconds in which entries reduce
	// their refusals step by step.
	ShortTime = 7 * dragonflyduration.Second
	// RevertTime replaces ShortTime for a model that has given groups away within
	// RevertWindow. Bursts last up to 7 s, and returning the groups for one of them would
	// drain groups twice.
	RevertTime = 12 * dragonflyduration.Second
	// RevertWindow is how long a model counts as one that has given groups away. With a
	// minute, shortages of 8 s of two models in turn moved groups about once a minute.
	RevertWindow = 10 * dragonflyduration.Minute
	// maxReversals bounds how often RevertTime doubles, to 48 s: a model that is short for a
	// minute gets groups, however often they have moved.
	maxReversals = 2
	// shortMemory bounds the memory of a shortage, so that a model that has enough capacity
	// again soon takes no more groups.
	shortMemory = dragonflyduration.Second
	// refusedLimit and delayLimit are the refused share of the work and the mean time to the
	// first event, as a fraction of the objective, above which a model lacks capacity.
	// Entries keep the latter near 0.65 by refusing work, and do not refuse single requests
	// by it.
	refusedLimit = 0.05
	delayLimit   = 0.9
	// averagingTime is the time constant of the averages from which the shares follow.
	averagingTime = 6 * dragonflyduration.Second
	// MinChange is the least gain in share of a short model for which groups move. The group
	// that is drained serves nobody for some seconds.
	MinChange = 0.08
	// ChangeInterval is the least time between two changes of the shares of a service. It
	// covers a drain, a join and the averaging of their effect.
	ChangeInterval = 15 * dragonflyduration.Second
	// minShare is the least share of a model. Its groups are bounded from below by the
	// formation plan.
	minShare = 0.05
	// maxGrowth bounds the factor by which refused work increases the need for groups.
	// Callers repeat refused requests, which then count twice.
	maxGrowth = 3
	// maxReports bounds the entries that are kept.
	maxReports = 4096
	// maxWork, in tokens a second, and maxDelay, in objectives, are more than any entry can
	// measure. One figure beyond them would prevail in the averages for minutes, and one that
	// is not a number for ever.
	maxWork  = 1e9
	maxDelay = 1e6
)

// report is the latest report of one entry.
type report struct {
	first, at dragonflyinstant.Instant // of the first one without a gap of ReportExpiry, and of the latest
	demands   []dragonflymodeldemand.Demand
}

// model is the state of one model. All but short are averages over averagingTime.
type model struct {
	load          dragonflymodelload.Load // the latest one
	work, refused float64                 // tokens a second
	delay         float64
	busy          float64                    // groups
	cost          float64                    // groups that one token a second keeps busy, 0 if unknown
	shortFor      dragonflyduration.Duration // how long capacity has been lacking, less the time since
}

// service is the state of one service.
type service struct {
	models    dragonflymap.Map[string, model]
	at        dragonflyinstant.Instant // of the latest update, 0 if there is none
	hasBegun  bool                     // whether the evidence was complete at it
	changedAt dragonflyinstant.Instant // of the latest change of planned
	planned   map[string]float64       // nil if the configured shares hold; not modified once set
	// lowered holds when the share of a model was lowered for the last time since it was
	// raised. It is not modified once set.
	lowered   map[string]dragonflyinstant.Instant
	reversals int // changes in a row that gave a model back within RevertWindow what it had lost
}

// Shares is the state of the decision. The zero Shares has no evidence, and the configured
// shares hold.
type Shares struct {
	reports  dragonflymap.Map[string, report]
	services dragonflymap.Map[string, service]
	since    dragonflyinstant.Instant // of the first report since when there has always been one, 0 if there is none
	complete bool
}

// WithReport returns s with the report of the entry process at now, which may have no
// demands.
func (s Shares) WithReport(now dragonflyinstant.Instant, process string, demands []dragonflymodeldemand.Demand) Shares {
	r, ok := s.reports.Get(process)
	if !ok && s.reports.Len() >= maxReports {
		return s
	}
	if !ok || now.Sub(r.at) > ReportExpiry {
		r.first = now
	}
	r.at, r.demands = now, validDemands(demands)
	s.reports = s.reports.With(process, r)
	if s.since == 0 {
		s.since = now
	}
	return s
}

// validDemands returns the demands whose figures an entry can have measured.
func validDemands(demands []dragonflymodeldemand.Demand) (valid []dragonflymodeldemand.Demand) {
	for _, d := range demands {
		// A comparison with a figure that is not a number is false.
		if d.Work >= 0 && d.Work <= maxWork && d.Refused >= 0 && d.Refused <= d.Work && d.Delay >= 0 && d.Delay <= maxDelay {
			valid = append(valid, d)
		}
	}
	return valid
}

// WithTime returns s at now: old reports expire, and the evidence becomes complete or is
// lost. It is called before WithLoads.
func (s Shares) WithTime(now dragonflyinstant.Instant) Shares {
	settled := true
	for process, r := range s.reports.All() {
		if now.Sub(r.at) > ReportExpiry {
			s.reports = s.reports.Without(process)
			continue
		}
		settled = settled && now.Sub(r.first) >= EvidenceTime
	}
	switch {
	case s.reports.Len() == 0:
		s.complete, s.since = false, 0
	case settled || now.Sub(s.since) >= EvidenceLimit:
		s.complete = true
	}
	return s
}

// WithLoads returns s after an update with the groups of the models of the service at
// now, and a description of the change of its planned shares, "" if there is none.
func (s Shares) WithLoads(now dragonflyinstant.Instant, name string, loads []dragonflymodelload.Load) (next Shares, change string) {
	before, _ := s.services.Get(name)
	if before.planned != nil && before.isRedefined(loads) {
		before.planned = nil
		change = "the configured shares hold, because the document has changed them"
	}
	sv := s.updated(before, now, name, loads)
	switch {
	case !s.complete && before.hasBegun:
		sv = service{at: now}
		if before.planned != nil {
			change = "the configured shares hold, because no entry reports"
		}
	case s.complete && !before.hasBegun:
		sv.hasBegun = true
		if planned := sv.sharesOfGroups(); planned != nil {
			sv = sv.withPlanned(now, planned)
			change = sv.describe(s, now, loads, before.planned, "groups of an earlier plan serve")
		}
	case s.complete && (sv.changedAt == 0 || now.Sub(sv.changedAt) >= ChangeInterval):
		if planned, short := sv.sharesByNeed(); planned != nil {
			sv = sv.withPlanned(now, planned)
			change = sv.describe(s, now, loads, before.planned, short+" is short")
		}
	}
	s.services = s.services.With(name, sv)
	return s, change
}

// Complete reports whether there is evidence: all entries in touch have reported for
// EvidenceTime, or some always have for EvidenceLimit, and since then some always have.
func (s Shares) Complete() bool { return s.complete }

// Planned returns the planned shares of the models of the service, nil if the configured
// ones hold. It must not be modified.
func (s Shares) Planned(name string) map[string]float64 {
	sv, _ := s.services.Get(name)
	return sv.planned
}

// Short returns the models of the service that lack capacity for longer than a burst.
func (s Shares) Short(name string) (short map[string]bool) {
	short = map[string]bool{}
	sv, _ := s.services.Get(name)
	for _, m := range sv.models.All() {
		if sv.isShort(m) {
			short[m.load.Model] = true
		}
	}
	return short
}

// isShort reports whether m has lacked capacity for long enough to get groups.
func (sv service) isShort(m model) bool { return m.shortFor >= sv.shortTime(m) }

// shortTime returns how long m must lack capacity to count as short.
func (sv service) shortTime(m model) dragonflyduration.Duration {
	if !sv.wasLowered(m.load.Model, sv.at) {
		return ShortTime
	}
	return RevertTime << min(sv.reversals, maxReversals)
}

// recovery returns how often the time without a lack of capacity counts. Shortages of a
// model that has given groups away do not add up over equal pauses: each looks longer, and
// each pause shorter, by the age of the reports.
func (sv service) recovery(m model) dragonflyduration.Duration {
	if sv.wasLowered(m.load.Model, sv.at) {
		return 2
	}
	return 1
}

// wasLowered reports whether the share of the model was lowered within RevertWindow before
// now and not raised since.
func (sv service) wasLowered(name string, now dragonflyinstant.Instant) bool {
	at, ok := sv.lowered[name]
	return ok && now.Sub(at) < RevertWindow
}

// withPlanned returns sv with the shares planned at now.
func (sv service) withPlanned(now dragonflyinstant.Instant, planned map[string]float64) service {
	if now.Sub(sv.changedAt) >= RevertWindow {
		sv.reversals = 0
	}
	lowered, reverts := map[string]dragonflyinstant.Instant{}, false
	for name, m := range sv.models.All() {
		switch gain := planned[name] - sv.share(m); {
		case gain < 0:
			lowered[name] = now
		case gain >= MinChange:
			reverts = reverts || sv.wasLowered(name, now)
		case sv.wasLowered(name, now):
			lowered[name] = sv.lowered[name]
		}
	}
	if reverts {
		sv.reversals++
	}
	sv.planned, sv.lowered, sv.changedAt = planned, lowered, now
	return sv
}

// isRedefined reports whether the models, their sizes or their configured shares differ
// from those for which the shares were planned.
func (sv service) isRedefined(loads []dragonflymodelload.Load) bool {
	for _, l := range loads {
		m, ok := sv.models.Get(l.Model)
		if !ok || m.load.Size != l.Size || m.load.Share != l.Share {
			return true
		}
	}
	return sv.models.Len() != len(loads)
}

// updated returns the service at now with the averages of its models.
func (s Shares) updated(sv service, now dragonflyinstant.Instant, name string, loads []dragonflymodelload.Load) service {
	passed, weight := dragonflyduration.Duration(0), 1.0
	if sv.at != 0 {
		passed = min(max(now.Sub(sv.at), 0), dragonflyduration.Second)
		weight = 1 - math.Exp(-passed.Seconds()/averagingTime.Seconds())
	}
	var next dragonflymap.Map[string, model]
	for _, l := range loads {
		m, _ := sv.models.Get(l.Model)
		work, refused, delay := s.sum(name, l.Model)
		m.load = l
		m.work += weight * (work - m.work)
		m.refused += weight * (refused - m.refused)
		m.delay += weight * (delay - m.delay)
		m.busy += weight * (l.Busy - m.busy)
		if served := m.work - m.refused; l.Groups > 0 && served > 0 && m.busy > 0 {
			m.cost = m.busy / served
		}
		if work > 0 && (refused >= refusedLimit*work || delay >= delayLimit) {
			m.shortFor = min(m.shortFor+passed, sv.shortTime(m)+shortMemory)
		} else {
			m.shortFor = max(m.shortFor-passed*sv.recovery(m), 0)
		}
		next = next.With(l.Model, m)
	}
	sv.models, sv.at = next, now
	return sv
}

// sum returns the work for a model that all entries report, the refused part of it, and
// the mean time to the first event, weighted by the work that was not refused.
func (s Shares) sum(name, modelName string) (work, refused, delay float64) {
	served := 0.0
	for _, r := range s.reports.All() {
		for _, d := range r.demands {
			if d.Service != name || d.Model != modelName {
				continue
			}
			work += d.Work
			refused += d.Refused
			if d.Delay > 0 {
				served += d.Work - d.Refused
				delay += d.Delay * (d.Work - d.Refused)
			}
		}
	}
	if served > 0 {
		delay /= served
	}
	return work, refused, delay
}
