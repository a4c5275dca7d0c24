package dragonflybalance

import (
	"dragonflyrelay.example/library/commands/dragonflyleaving"
	"dragonflyrelay.example/library/commands/dragonflypause"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflybalanceevent"
	"dragonflyrelay.example/library/values/dragonflychoice"
	"dragonflyrelay.example/library/values/dragonflydocumentservice"
)

// Leaving returns the endpoints whose answers say that they leave.
func (b Balance) Leaving() dragonflyleaving.Leaving { return b.leaving }

// Pauses returns the pauses that endpoints have asked this entry for.
func (b Balance) Pauses() dragonflypause.Pauses { return b.pauses }

// withAnsweredPause records the pause that an answer of an endpoint asks for. It is bounded
// by the longest time that a route lets a request take.
func (b Balance) withAnsweredPause(now dragonflyinstant.Instant, ev dragonflybalanceevent.Event) Balance {
	if ev.PauseUnknown {
		b.pauses = b.pauses.WithUnreadable(ev.ID, ev.Boot)
		return b
	}
	longest := dragonflyduration.Duration(0)
	for _, routes := range b.document.Routes().All() {
		for _, r := range routes {
			longest = max(longest, r.Timeout)
		}
	}
	b.pauses = b.pauses.WithAnswer(now, ev.ID, ev.Boot, ev.Pause, longest)
	return b
}

// returnRate returns the number of requests a second that this entry sends to an endpoint
// at the end of its pause: its part of what a cold one takes, or of the endpoint's slots
// each second.
func (b Balance) returnRate(svc dragonflydocumentservice.Service, e endpoint) float64 {
	rate := svc.ColdRate * coldShare
	if rate <= 0 {
		rate = float64(max(e.Slots, 1))
	}
	return rate / b.entries.divisor()
}

// earliest returns the shorter of the waits a and b, of which 0 is none.
func earliest(a, b dragonflyduration.Duration) dragonflyduration.Duration {
	if a == 0 {
		return b
	}
	return min(a, b)
}

// refusal returns the choice of no endpoint. Endpoints at their limits or cold ones may take
// a request before the end of the first pause.
func refusal(reason string, pause dragonflyduration.Duration) dragonflychoice.Choice {
	if pause > 0 && reason != reasonLimited && reason != reasonCold {
		return dragonflychoice.Choice{Reason: reasonPausing, Pause: pause}
	}
	return dragonflychoice.Choice{Reason: reason, Full: reason == reasonLimited, Cold: reason == reasonCold, Unserved: reason == reasonAbsent}
}

// withoutOldSignals drops what earlier starts of endpoints have said, and endpoints that
// are gone, after a complete table.
func (b Balance) withoutOldSignals(now dragonflyinstant.Instant) Balance {
	b.leaving = b.leaving.WithTable(now, b.boot)
	b.pauses = b.pauses.WithTable(now, b.boot)
	return b
}

// boot returns the start of the endpoint id in the table.
func (b Balance) boot(id string) (boot int64, ok bool) {
	e, ok := b.endpoints.Get(id)
	return e.Boot, ok
}
