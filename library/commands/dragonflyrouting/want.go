package dragonflyrouting

import (
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyroute"
	"dragonflyrelay.example/library/values/dragonflyroutecandidate"
	"dragonflyrelay.example/library/values/dragonflyroutingaction"
	"dragonflyrelay.example/library/values/dragonflyroutingevent"
)

// selectRoute chooses the route of an attempt and counts it as in flight.
func (r Routing) selectRoute(now dragonflyinstant.Instant, ev dragonflyroutingevent.Event) (Routing, []dragonflyroutingaction.Action) {
	cs := r.candidates(now, ev, false)
	if len(cs) == 0 {
		cs = r.candidates(now, ev, true)
	}
	if len(cs) == 0 {
		return r, waitAction(dragonflyroutingaction.ReasonNoRoute)
	}
	if ev.Retry {
		b, _ := r.budgets.Get(ev.Class)
		b, ok := b.spend(now, ev.Forced)
		if !ok {
			return r, waitAction(dragonflyroutingaction.ReasonRetryBudget)
		}
		r.budgets = r.budgets.With(ev.Class, b)
	}
	best, _ := r.ranking.Best(ev.Affinity, ev.Remaining, cs)
	rec, _ := r.state(best.Route)
	rec.inFlight++
	return r.withState(rec), []dragonflyroutingaction.Action{{Kind: dragonflyroutingaction.Use, Route: rec.route}}
}

func waitAction(reason string) []dragonflyroutingaction.Action {
	return []dragonflyroutingaction.Action{{Kind: dragonflyroutingaction.Wait, Reason: reason}}
}

// candidates returns the routes that may take the attempt now: the ready ones,
// or those that control does not hear, which may be cut off from control alone.
func (r Routing) candidates(now dragonflyinstant.Instant, ev dragonflyroutingevent.Event, silent bool) []dragonflyroutecandidate.Candidate {
	cs := make([]dragonflyroutecandidate.Candidate, 0, r.states.Len())
	class, _ := r.cfg.Classes().Get(ev.Class)
	for key, rec := range r.states.All() {
		able := rec.route.Ready && !rec.route.Silent
		if silent {
			able = rec.route.Silent
		}
		if !able || rec.removed || rec.penaltyUntil.After(now) || !r.serves(&rec.route, ev) || (rec.route.CrossDomain && !class.CrossDomain()) {
			continue
		}
		c := dragonflyroutecandidate.Candidate{
			Route: key, Region: rec.route.Region, Zone: rec.route.Zone,
			Busy:  rec.busy(),
			Limit: max(rec.load.Limit, 1),
			Tried: contains(ev.Tried, key),
		}
		if now.Sub(rec.firstTokenAt) <= firstTokenMaxAge {
			c.FirstToken = rec.firstToken
		}
		cs = append(cs, c)
	}
	return cs
}

// serves reports whether the route has what ev asks for, and no zone that it has
// members in is out of service.
func (r Routing) serves(route *dragonflyroute.Route, ev dragonflyroutingevent.Event) bool {
	if route.Model != ev.Model || route.Service != ev.Service || r.cfg.ZoneOut(route.Zone) {
		return false
	}
	for _, z := range route.Zones {
		if r.cfg.ZoneOut(z) {
			return false
		}
	}
	return true
}

// busy adds to the last sample the entry's own attempts since then.
func (c *routeState) busy() int {
	return max(c.load.InFlight+c.load.Queued+c.inFlight-c.sampledInFlight, c.inFlight, 0)
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
