package dragonflybalance

import (
	"slices"

	"dragonflyrelay.example/library/values/dragonflybalanceevent"
	"dragonflyrelay.example/library/values/dragonflydocumentservice"
)

// serves reports whether e serves the model of ev, svc being the service of ev.
func serves(svc dragonflydocumentservice.Service, e endpoint, ev dragonflybalanceevent.Event) bool {
	return e.Service == ev.Service && (!svc.Grouped() && e.Model == "" || e.Model == ev.Model)
}

// out reports whether e is in a zone that is taken out, leaves, or is excluded.
func (b Balance) out(e endpoint, ev dragonflybalanceevent.Event) bool {
	isOut, _ := b.outZones.Get(e.Zone)
	return isOut || e.Leaving || b.leaving.Has(e.ID, e.Boot) || slices.Contains(ev.Exclude, e.ID)
}

// absent reports whether no endpoint serves the model of ev, apart from those that are out.
// The reason of a choice does not tell: it is that of the last endpoint.
func (b Balance) absent(ev dragonflybalanceevent.Event) bool {
	svc, _ := b.document.Services().Get(ev.Service)
	for _, e := range b.endpoints.All() {
		if serves(svc, e, ev) && !b.out(e, ev) {
			return false
		}
	}
	return true
}
