// Package dragonflyreturnestimates shares the estimates of when models return between the
// entries that ask for them.
package dragonflyreturnestimates

import (
	"slices"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflylatest"
	"dragonflyrelay.example/library/values/dragonflymodelreturn"
)

// lifetime is how long estimates serve all entries that ask without a change in between. A
// change wakes every entry, and an estimate costs a pass over all upstreams.
const lifetime = 100 * dragonflyduration.Millisecond

// ReturnEstimates are the latest estimates. The zero value has none. Any number of goroutines
// may use it.
type ReturnEstimates struct {
	latest dragonflylatest.Latest[made]
}

// made are estimates that were made at an instant, by the state with the number of changes.
type made struct {
	at      dragonflyinstant.Instant
	changes uint64
	all     []dragonflymodelreturn.Return
}

// From returns the estimates from now on by the state with the number of changes. It calls
// estimate if the latest ones are older or by another state.
func (r *ReturnEstimates) From(now dragonflyinstant.Instant, changes uint64, estimate func() []dragonflymodelreturn.Return) []dragonflymodelreturn.Return {
	m := r.latest.Load()
	age := now.Sub(m.at)
	if m.at == 0 || m.changes != changes || age < 0 || age >= lifetime {
		m, age = made{at: now, changes: changes, all: estimate()}, 0
		r.latest.Store(m)
	}
	all := slices.Clone(m.all)
	for i := range all {
		all[i].In = max(all[i].In-age, 0)
	}
	return all
}
