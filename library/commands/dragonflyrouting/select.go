package dragonflyrouting

import (
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyroute"
	"dragonflyrelay.example/library/values/dragonflyroutecandidate"
	"dragonflyrelay.example/library/values/dragonflyroutingaction"
	"dragonflyrelay.example/library/values/dragonflyroutingevent"
)

// selectRoute selects the route of an attempt and counts the attempt as in flight. A
// silent route is considered only if there is no ready one.
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
	st, _ := r.state(best.Route)
	st.inFlight++
	return r.withState(st), []dragonflyroutingaction.Action{{Kind: dragonflyroutingaction.Use, Route: st.route}}
}

func waitAction(reason string) []dragonflyroutingaction.Action {
	return []dragonflyroutingaction.Action{{Kind: dragonflyroutingaction.Wait, Reason: reason}}
}

// candidates returns the routes that may take the attempt now: the ready ones or, if
// silent is set, those without heartbeats at control, which may be partitioned from
// control only.
func (r Routing) candidates(now dragonflyinstant.Instant, ev dragonflyroutingevent.Event, silent bool) []dragonflyroutecandidate.Candidate {
	cs := make([]dragonflyroutecandidate.Candidate, 0, r.states.Len())
	class, _ := r.cfg.Classes().Get(ev.Class)
	for key, st := range r.states.All() {
		able := st.route.Ready && !st.route.Silent
		if silent {
			able = st.route.Silent
		}
		if !able || st.removed || st.penaltyUntil.After(now) || !r.serves(&st.route, ev) || (st.route.CrossDomain && !class.CrossDomain()) {
			continue
		}
		c := dragonflyroutecandidate.Candidate{
			Route: key, Region: st.route.Region, Zone: st.route.Zone,
			Busy:  st.requestCount(),
			Limit: max(st.load.Limit, 1),
			Tried: contains(ev.Tried, key),
		}
		if now.Sub(st.firstTokenAt) <= firstTokenMaxAge {
			c.FirstToken = st.firstToken
		}
		cs = append(cs, c)
	}
	return cs
}

// serves reports whether the route serves the model or service of ev and none of its
// members is in a zone that is out of service.
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

// requestCount returns the estimated number of requests on the route: the last sample
// plus the change of the entry's own attempts since then.
func (st *routeState) requestCount() int {
	return max(st.load.InFlight+st.load.Queued+st.inFlight-st.sampledInFlight, st.inFlight, 0)
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
