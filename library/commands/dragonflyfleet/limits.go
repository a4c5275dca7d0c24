package dragonflyfleet

import (
	"fmt"

	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyendpointlimit"
	"dragonflyrelay.example/library/values/dragonflyfollowresponse"
	"dragonflyrelay.example/library/values/dragonflyoccurrence"
)

// maxLimits bounds the upstreams whose limits are kept.
const maxLimits = 4096

// limit is what the latest answer of an upstream says of its limit.
type limit struct {
	boot    int64
	limited bool
	rate    float64
	at      dragonflyinstant.Instant // of the answer
	since   dragonflyinstant.Instant // when limited last changed
}

// observeLimits applies the limits that an entry has seen. The latest answer counts.
func (s *step) observeLimits(limits []dragonflyendpointlimit.Limit) {
	if !s.leads {
		return
	}
	for _, l := range limits {
		next := limit{boot: l.Boot, limited: l.Limited, rate: l.Rate, at: s.now.Add(-l.Age)}
		old, known := s.limits.Get(l.ID)
		if known && (old.boot > next.boot || old.boot == next.boot && old.at.After(next.at)) || !known && s.limits.Len() >= maxLimits {
			continue
		}
		if next.since = old.since; !known || old.boot != next.boot || old.limited != next.limited {
			next.since = next.at
		}
		s.limits = s.limits.With(l.ID, next)
		if old.boot == next.boot && old.limited == next.limited && old.rate == next.rate {
			continue
		}
		s.limitsChanged = true
		detail := "no limit any more"
		if l.Limited {
			detail = fmt.Sprintf("takes %g requests a second", l.Rate)
		}
		s.occurrences = append(s.occurrences, dragonflyoccurrence.Occurrence{Event: "upstream-limit", Instance: l.ID, Detail: detail})
	}
}

// publishLimits passes changed limits on. All changes between two ticks are one, since
// upstreams that name another limit in each answer would wake all entries each time.
func (s *step) publishLimits() {
	if s.limitsChanged {
		s.limitsChanged = false
		s.limitsRevision++
		s.changes++
	}
}

// removeLimits forgets the limits of upstreams that are gone.
func (s *step) removeLimits() {
	if !s.AllReported(s.now) {
		return
	}
	for id, l := range s.limits.All() {
		if u, ok := s.upstreams.Get(id); !ok || u.obs.Boot > l.boot {
			s.limits = s.limits.Without(id)
		}
	}
}

// WithLimits returns n with the limits of upstreams, unless the caller already has those of
// the term and revision.
func (f Fleet) WithLimits(now dragonflyinstant.Instant, n dragonflyfollowresponse.Response, term, revision uint64) dragonflyfollowresponse.Response {
	n.LimitsRevision = f.limitsRevision
	if term == f.term && revision == n.LimitsRevision {
		return n
	}
	n.HasLimits = true
	for id, l := range f.limits.All() {
		n.Limits = append(n.Limits, dragonflyendpointlimit.Limit{ID: id, Boot: l.boot, Limited: l.limited, Rate: l.rate, Age: now.Sub(l.at)})
	}
	return n
}
