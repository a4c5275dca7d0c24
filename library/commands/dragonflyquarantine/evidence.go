package dragonflyquarantine

import (
	"cmp"
	"slices"

	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyquarantinedpart"
)

// evidence is what the crashes say against one key.
type evidence struct {
	moments       int
	first, latest dragonflyinstant.Instant // starts of moments
	depth         int
	answered      bool // before the crashes
}

// suspectRequest is a request that the crashes speak against.
type suspectRequest struct {
	id string
	evidence
}

// suspectRequests returns the requests to quarantine, those of most crashes first. Crashes
// that a quarantined part explains do not count. Requests that were lost at the same
// crashes cannot be told apart, so that none explains a crash for another one.
func (q Quarantine) suspectRequests(crashes []crash) (suspects []suspectRequest) {
	unexplained := slices.DeleteFunc(slices.Clone(crashes), q.explained)
	if moments(unexplained) < suspectMoments {
		return nil
	}
	all := map[string]evidence{}
	for _, c := range unexplained {
		for id := range c.requests.All() {
			if q.suspects(c, id) {
				all[id] = all[id].withCrash(c, 0)
			}
		}
	}
	for id, e := range all {
		_, e.answered = q.servedAt.Get(id)
		if _, held := q.requests.Get(id); !held && e.sufficient() {
			suspects = append(suspects, suspectRequest{id: id, evidence: e})
		}
	}
	slices.SortFunc(suspects, func(a, b suspectRequest) int { return cmp.Or(b.compare(a.evidence), cmp.Compare(a.id, b.id)) })
	return suspects[:min(len(suspects), maxRequests-q.requests.Len())]
}

// suspectPart returns the part that most likely causes the crashes that no quarantined part
// explains, "" if there is none: a part that was never answered rather than one that was,
// and the one in most crashes. Of parts that occur together the deepest one is suspected,
// since the others have more requests without it.
//
// A quarantined request that was lost at all moments of a part causes them, whatever parts
// it has. For a part that was answered before, its crashes do not count at all: the requests
// with that part wait again and again.
func (q Quarantine) suspectPart(crashes []crash) (id string, ev evidence) {
	unexplained := slices.DeleteFunc(slices.Clone(crashes), q.explained)
	if moments(unexplained) < suspectMoments {
		return "", ev
	}
	byRequest := make([]bool, len(unexplained))
	for i, c := range unexplained {
		byRequest[i] = q.requestIn(c)
	}
	all := map[string]evidence{}
	for i, c := range unexplained {
		for part, depth := range c.parts.All() {
			_, answered := q.servedAt.Get(part)
			if q.suspects(c, part) && (!answered || !byRequest[i]) {
				all[part] = all[part].withCrash(c, depth)
			}
		}
	}
	for part, e := range all {
		_, e.answered = q.servedAt.Get(part)
		if !e.sufficient() {
			continue
		}
		if c := e.compare(ev); (id == "" || c > 0 || c == 0 && part < id) && !q.causedByRequest(unexplained, part, e.moments) {
			id, ev = part, e
		}
	}
	return id, ev
}

// requestIn reports whether a quarantined request explains the crash c.
func (q Quarantine) requestIn(c crash) bool {
	for id := range q.requests.All() {
		if q.suspects(c, id) {
			return true
		}
	}
	return false
}

// causedByRequest reports whether one quarantined request was lost at all moments, n of
// them, at which the part was.
func (q Quarantine) causedByRequest(crashes []crash, part string, n int) bool {
	crashes = slices.DeleteFunc(slices.Clone(crashes), func(c crash) bool { return !q.suspects(c, part) })
	for id := range q.requests.All() {
		var part, both evidence
		for _, c := range crashes {
			part = part.withCrash(c, 0)
			if q.suspects(c, id) && both.latest != part.latest {
				both.moments, both.latest = both.moments+1, part.latest
			}
		}
		if both.moments >= n {
			return true
		}
	}
	return false
}

// moments returns the number of moments of the crashes, which are in the order of their
// times.
func moments(crashes []crash) int {
	var e evidence
	for _, c := range crashes {
		e = e.withCrash(c, 0)
	}
	return e.moments
}

// withCrash returns e with another crash, which is not earlier than those before.
func (e evidence) withCrash(c crash, depth int) evidence {
	if e.moments == 0 {
		e.first = c.at
	}
	if e.moments == 0 || c.at.Sub(e.latest) >= dragonflyquarantinedpart.MomentLength {
		e.moments, e.latest = e.moments+1, c.at
	}
	e.depth = max(e.depth, depth)
	return e
}

// explained reports whether a quarantined part explains the crash c.
func (q Quarantine) explained(c crash) bool {
	for id := range q.parts.All() {
		if q.suspects(c, id) {
			return true
		}
	}
	return false
}

func (e evidence) sufficient() bool {
	if e.answered {
		return e.moments >= answeredMoments
	}
	return e.moments >= suspectMoments
}

// compare returns a positive number if e speaks more strongly than other.
func (e evidence) compare(other evidence) int {
	if e.answered != other.answered {
		if other.answered {
			return 1
		}
		return -1
	}
	if c := cmp.Compare(e.moments, other.moments); c != 0 {
		return c
	}
	return cmp.Compare(e.depth, other.depth)
}
