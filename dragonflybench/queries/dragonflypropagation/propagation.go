// Package dragonflypropagation computes the time until configuration changes are in
// force everywhere.
package dragonflypropagation

import (
	"slices"

	"dragonflyrelay.example/dragonflybench/values/dragonflyadoption"
	"dragonflyrelay.example/dragonflybench/values/dragonflyquantiles"
	"dragonflyrelay.example/library/common/dragonflyduration"
)

// Times returns, for each accepted version in ascending order, the time from its
// acceptance until the last process follows it or a later one, and the number of
// versions that some process does not follow. The times of acceptance and adoption
// are in ns on one clock. The time is 0 for a version that was in force everywhere
// before the response to its proposal arrived.
func Times(accepted map[uint64]int64, processes []string, adoptions []dragonflyadoption.Adoption) (times []dragonflyduration.Duration, missing int) {
	byProcess := map[string][]dragonflyadoption.Adoption{}
	for _, a := range adoptions {
		byProcess[a.Process] = append(byProcess[a.Process], a)
	}
	versions := make([]uint64, 0, len(accepted))
	for v := range accepted {
		versions = append(versions, v)
	}
	slices.Sort(versions)
	for _, v := range versions {
		last, ok := lastAt(v, processes, byProcess)
		if !ok {
			missing++
			continue
		}
		times = append(times, dragonflyduration.Duration(max(last-accepted[v], 0)))
	}
	return times, missing
}

func lastAt(version uint64, processes []string, byProcess map[string][]dragonflyadoption.Adoption) (last int64, ok bool) {
	for _, p := range processes {
		at, found := firstAt(version, byProcess[p])
		if !found {
			return 0, false
		}
		last = max(last, at)
	}
	return last, true
}

func firstAt(version uint64, adoptions []dragonflyadoption.Adoption) (at int64, found bool) {
	for _, a := range adoptions {
		if a.Version >= version && (!found || a.At < at) {
			at, found = a.At, true
		}
	}
	return at, found
}

// Quantiles returns quantiles of times by the nearest-rank method.
func Quantiles(times []dragonflyduration.Duration) dragonflyquantiles.Quantiles {
	if len(times) == 0 {
		return dragonflyquantiles.Quantiles{}
	}
	sorted := slices.Clone(times)
	slices.Sort(sorted)
	rank := func(percent int) dragonflyduration.Duration {
		return sorted[(percent*len(sorted)+99)/100-1]
	}
	return dragonflyquantiles.Quantiles{
		Count: int64(len(sorted)), P50: rank(50), P95: rank(95), P99: rank(99), Max: sorted[len(sorted)-1],
	}
}
