package dragonflybalance

import (
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflybalanceevent"
	"dragonflyrelay.example/library/values/dragonflydocumentservice"
)

// rereadShare is the part of an engine's reading rate for prompts that are read
// again; new ones need most of the rest. When a group breaks, the other groups read
// the prompts of all its streams again. If they came at once, one pass would take
// longer than the pauses that all the other streams bear.
const rereadShare = 0.4

// reread is an entry's allowance of prompt tokens that the groups of one model may
// be given again.
type reread struct {
	room float64
	at   dragonflyinstant.Instant
}

// rereadOf returns the allowance for ev at now. It grows with the groups that
// could take the request and never exceeds 1, so that one request may go at once.
func (b Balance) rereadOf(now dragonflyinstant.Instant, svc dragonflydocumentservice.Service, ev dragonflybalanceevent.Event) reread {
	r, ok := b.rereads.Get(modelKey(ev.Service, ev.Model))
	if !ok {
		return reread{room: 1, at: now}
	}
	groups := 0
	for _, e := range b.endpoints.All() {
		if e.Service == ev.Service && e.Model == ev.Model && !e.Leaving {
			groups++
		}
	}
	m, _ := svc.Engine.Model(ev.Model)
	rate := rereadShare * float64(groups) * svc.Engine.ReadRate / m.TimeFactor() / float64(b.entries)
	r.room = min(1, r.room+rate*now.Sub(r.at).Seconds())
	r.at = now
	return r
}
