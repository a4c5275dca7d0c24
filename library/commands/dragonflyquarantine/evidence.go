package dragonflyquarantine

import (
	"cmp"
	"slices"

	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflycrash"
	"dragonflyrelay.example/library/values/dragonflyquarantinedpart"
)

// evidence is what the crashes say against one key.
type evidence struct {
	moments       int
	apart         int                      // crashes with causes of their own: all that were alone, and one of each moment else
	together      bool                     // the latest moment has one that counts for those that were not alone
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
// crashes cannot be distinguished, so that none explains a crash for another one.
func (q Quarantine) suspectRequests(crashes []dragonflycrash.Crash) (suspects []suspectRequest) {
	unexplained := slices.DeleteFunc(slices.Clone(crashes), q.explained)
	if len(unexplained) < min(suspectMoments, apartRequestCrashes) {
		return nil
	}
	all := map[string]evidence{}
	for _, c := range unexplained {
		for id, sentAt := range c.Requests().All() {
			if q.crashes.SpeaksAgainst(c, id) {
				all[id] = all[id].withSent(c, sentAt)
			}
		}
	}
	for id, e := range all {
		e.answered = q.crashes.Answered(id)
		if _, held := q.requests.Get(id); !held && e.sufficient(apartRequestCrashes) {
			suspects = append(suspects, suspectRequest{id: id, evidence: e})
		}
	}
	slices.SortFunc(suspects, func(a, b suspectRequest) int { return cmp.Or(b.compare(a.evidence), cmp.Compare(a.id, b.id)) })
	return suspects
}

// suspectPart returns the part that most likely causes the crashes that no quarantined part
// explains, "" if there is none: a part that was never answered rather than one that was,
// and the one in most crashes. Of parts that occur together the deepest one is suspected,
// since the others have more requests without it.
//
// A quarantined request explains the crashes of a part if it was lost at all of its moments, and
// at all of those crashes of a moment that had causes of their own, whatever other parts it has,
// or at a crash without the part. A part is suspected if a crash of it is not explained: the
// requests with it are not alike, and each is repeated a few times. For a part that was answered
// before, crashes with any quarantined request do not count: while no engine serves, requests with
// it are lost again and again.
func (q Quarantine) suspectPart(crashes []dragonflycrash.Crash) (id string, ev evidence) {
	unexplained := slices.DeleteFunc(slices.Clone(crashes), q.explained)
	if len(unexplained) < min(suspectMoments, apartCrashes) {
		return "", ev
	}
	held := make([][]string, len(unexplained)) // quarantined requests of each crash
	for i, c := range unexplained {
		held[i] = q.requestsIn(c)
	}
	all := map[string]evidence{}
	for i, c := range unexplained {
		for part, depth := range c.Parts().All() {
			if q.crashes.SpeaksAgainst(c, part) && (len(held[i]) == 0 || !q.crashes.Answered(part)) {
				all[part] = all[part].withCrash(c, depth)
			}
		}
	}
	for part, e := range all {
		e.answered = q.crashes.Answered(part)
		if !e.sufficient(apartCrashes) {
			continue
		}
		if c := e.compare(ev); (id == "" || c > 0 || c == 0 && part < id) && !q.explainedByRequests(unexplained, held, part) {
			id, ev = part, e
		}
	}
	return id, ev
}

// requestsIn returns the quarantined requests that the crash c speaks against.
func (q Quarantine) requestsIn(c dragonflycrash.Crash) (ids []string) {
	for id := range q.requests.All() {
		if q.crashes.SpeaksAgainst(c, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// explainedByRequests reports whether quarantined requests explain all crashes of the part.
// Held lists those of each crash.
func (q Quarantine) explainedByRequests(crashes []dragonflycrash.Crash, held [][]string, part string) bool {
	total, shared := evidence{}, map[string]evidence{}
	elsewhere := map[string]bool{} // requests with a crash without the part
	for i, c := range crashes {
		if !q.crashes.SpeaksAgainst(c, part) {
			for _, id := range held[i] {
				elsewhere[id] = true
			}
			continue
		}
		total = total.withCrash(c, 0)
		for _, id := range held[i] {
			e := shared[id]
			if e.latest != total.latest {
				e.latest, e.together = total.latest, false
			}
			shared[id] = e.withApart(c)
		}
	}
	for i, c := range crashes {
		explains := func(id string) bool { return elsewhere[id] || shared[id].apart == total.apart }
		if q.crashes.SpeaksAgainst(c, part) && !slices.ContainsFunc(held[i], explains) {
			return false
		}
	}
	return true
}

// withCrash returns e with another crash, which is not earlier than those before.
func (e evidence) withCrash(c dragonflycrash.Crash, depth int) evidence {
	if e.moments == 0 {
		e.first = c.At()
	}
	if e.moments == 0 || c.At().Sub(e.latest) >= dragonflyquarantinedpart.MomentLength {
		e.moments, e.latest, e.together = e.moments+1, c.At(), false
	}
	e.depth = max(e.depth, depth)
	return e.withApart(c)
}

// withApart returns e with the crash c of its latest moment among those that count apart.
func (e evidence) withApart(c dragonflycrash.Crash) evidence {
	if c.Alone() || !e.together {
		e.apart++
	}
	e.together = e.together || !c.Alone()
	return e
}

// withSent returns e with another crash of a request that was sent at sentAt. After the
// crash before, it cannot have had the same cause: a server that had stopped too would have
// refused the request.
func (e evidence) withSent(c dragonflycrash.Crash, sentAt dragonflyinstant.Instant) evidence {
	if e.moments > 0 && !sentAt.Before(e.latest) && c.At().After(e.latest) {
		e.moments, e.latest, e.together = e.moments+1, c.At(), false
		return e.withApart(c)
	}
	return e.withCrash(c, 0)
}

// explained reports whether a quarantined part explains the crash c.
func (q Quarantine) explained(c dragonflycrash.Crash) bool {
	for id := range q.parts.All() {
		if q.crashes.SpeaksAgainst(c, id) {
			return true
		}
	}
	return false
}

// sufficient reports whether e makes its key suspect. Crashes at few moments do if at least
// apart of them have causes of their own.
func (e evidence) sufficient(apart int) bool {
	if !e.answered {
		return e.moments >= suspectMoments || e.apart >= apart
	}
	return max(e.moments, e.apart) >= answeredMoments || e.moments >= spreadMoments && e.latest.Sub(e.first) > outageTime
}

// compare returns a positive number if e speaks more strongly than other.
func (e evidence) compare(other evidence) int {
	if e.answered != other.answered {
		if other.answered {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(e.moments, other.moments), cmp.Compare(e.apart, other.apart), cmp.Compare(e.depth, other.depth))
}
