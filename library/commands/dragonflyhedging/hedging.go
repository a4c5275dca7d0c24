// Package dragonflyhedging decides when a request that may be repeated is sent to a second
// upstream because the first one is late. Load: a few slow responses among repeatable
// requests, from one upstream or group that is slow while the others are not. A second copy
// costs an upstream the whole request again, and an engine the reading of its prompt, so that
// it is sent for a small share of the requests, and not at all while all upstreams are slow.
package dragonflyhedging

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflybalanceevent"
	"dragonflyrelay.example/library/values/dragonflychoice"
)

const (
	// lateQuantile is the quantile of the recent times above which a request is late. The
	// slow upstream of a few has up to a quarter of the requests: with a higher quantile its
	// own times would count as usual.
	lateQuantile = 0.6
	// typicalQuantile is the quantile of the recent times that a second upstream is expected
	// to take.
	typicalQuantile = 0.4
	// fairChance is the share of the objective that the first upstream has for its answer.
	fairChance = 0.5
	// maxAllowance bounds the requests of a service that are sent a second time in a burst.
	maxAllowance = 2
)

// Reasons for which a request is not sent a second time.
const (
	// ReasonBudget is that of a request beyond the share.
	ReasonBudget   = "the share of requests that are sent twice is used up"
	reasonEarly    = "the answer is not late"
	reasonAllSlow  = "a second upstream would answer after the objective"
	reasonDisabled = "requests are sent once"
)

// Hedging is the state of the decision at one entry. The zero Hedging sends no request a
// second time.
type Hedging struct {
	ratio      float64
	allowances dragonflymap.Map[string, float64] // by service, in requests
	times      dragonflymap.Map[string, window]  // by service and model
}

// New returns a Hedging that sends up to the share ratio of the requests of each service a
// second time. It records nothing if ratio is 0.
func New(ratio float64) Hedging { return Hedging{ratio: ratio} }

// Delay returns the time after which a request of the service and model is late, and whether
// it may be sent a second time then. It may not while too few times are known, or while a
// second upstream is expected to answer after the objective.
func (h Hedging) Delay(now dragonflyinstant.Instant, service, model string, objective dragonflyduration.Duration) (delay dragonflyduration.Duration, ok bool) {
	w, _ := h.times.Get(key(service, model))
	late, typical, known := w.quantiles(now)
	if h.ratio <= 0 || !known {
		return 0, false
	}
	delay = max(late, dragonflyduration.Duration(float64(objective)*fairChance))
	return delay, delay+typical <= objective
}

// Refusal returns the reason for which the event ev, which chooses a second upstream, must
// not be handled, "" if it may be or chooses no second upstream.
func (h Hedging) Refusal(now dragonflyinstant.Instant, ev dragonflybalanceevent.Event) (reason string) {
	if ev.Kind != dragonflybalanceevent.Choose || !ev.Hedge {
		return ""
	}
	delay, ok := h.Delay(now, ev.Service, ev.Model, ev.Objective)
	allowance, _ := h.allowances.Get(ev.Service)
	switch {
	case h.ratio <= 0:
		return reasonDisabled
	case !ok:
		return reasonAllSlow
	case ev.Waited < delay:
		return reasonEarly
	case allowance < 1:
		return ReasonBudget
	}
	return ""
}

// Step returns the Hedging after the event ev at now, for which the balance core made the
// choice c.
func (h Hedging) Step(now dragonflyinstant.Instant, ev dragonflybalanceevent.Event, c dragonflychoice.Choice) Hedging {
	if h.ratio <= 0 {
		return h
	}
	switch ev.Kind {
	case dragonflybalanceevent.Choose:
		return h.withChoice(ev, c)
	case dragonflybalanceevent.Began, dragonflybalanceevent.Ended:
		if ev.Service != "" && ev.Waited > 0 {
			k := key(ev.Service, ev.Model)
			w, _ := h.times.Get(k)
			h.times = h.times.With(k, w.with(now, ev.Waited))
		}
	}
	return h
}

// withChoice counts a request that was sent for the first or the second time.
func (h Hedging) withChoice(ev dragonflybalanceevent.Event, c dragonflychoice.Choice) Hedging {
	if !c.OK || ev.Retry && !ev.Hedge {
		return h
	}
	allowance, _ := h.allowances.Get(ev.Service)
	if ev.Hedge {
		allowance--
	} else {
		allowance = min(allowance+h.ratio, maxAllowance)
	}
	h.allowances = h.allowances.With(ev.Service, allowance)
	return h
}

// key returns the map key of a service's model.
func key(service, model string) string { return service + " " + model }
