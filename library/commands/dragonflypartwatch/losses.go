package dragonflypartwatch

import (
	"slices"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyfingerprint"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflyloss"
	"dragonflyrelay.example/library/values/dragonflypartevent"
	"dragonflyrelay.example/library/values/dragonflypromptpart"
)

// refusedTime is how long after a loss a refused connection shows that the endpoint has
// crashed. A later one may be due to a planned stop.
const refusedTime = dragonflyduration.Second

// loss is an endpoint that was lost with requests that had no answer.
type loss struct {
	id       string
	boot     int64
	at       dragonflyinstant.Instant                           // of the first request
	latest   dragonflyinstant.Instant                           // of the last request
	sequence uint64                                             // rises when the loss or one of its keys is recorded
	refused  bool                                               // a connection was refused since
	parts    dragonflymap.Map[string, int]                      // depth by id
	requests dragonflymap.Map[string, dragonflyinstant.Instant] // when each was sent, by fingerprint
}

func (l loss) is(id string, boot int64) bool { return l.id == id && l.boot == boot }

// withKeys returns the loss with the parts and the fingerprint of another request, which was
// sent at sentAt.
func (l loss) withKeys(sentAt dragonflyinstant.Instant, keys []string) loss {
	for depth, id := range keys {
		switch {
		case dragonflyfingerprint.Is(id) && l.requests.Len() < maxLossRequests:
			l.requests = l.requests.With(id, sentAt)
		case !dragonflyfingerprint.Is(id) && l.parts.Len() < maxLossParts:
			l.parts = l.parts.With(id, depth)
		}
	}
	return l
}

// withLoss records the keys of a request that was lost at an endpoint. The loss that says least
// makes room for a new one, which is reported as isNew. A crash is kept until its requests are
// answered, a broken connection for ReportTime.
func (w Watch) withLoss(now dragonflyinstant.Instant, ev dragonflypartevent.Event) (next Watch, isNew bool) {
	if len(ev.Parts) == 0 {
		return w, false
	}
	w.sequence++
	l := loss{id: ev.ID, boot: ev.Boot, at: now}
	var losses []loss
	isNew = true
	for _, old := range w.losses {
		switch {
		case old.is(ev.ID, ev.Boot) && (old.refused || now.Sub(old.latest) <= refusedTime):
			l, isNew = old, false
		case old.is(ev.ID, ev.Boot): // The endpoint has lived on.
		case now.Sub(old.at) <= ReportTime:
			losses = append(losses, old)
		case old.refused:
			if old = w.withoutAnswered(old); old.requests.Len() > 0 {
				losses = append(losses, old)
			}
		}
	}
	l = l.withKeys(ev.SentAt, ev.Parts)
	l.sequence, l.latest = w.sequence, now
	losses = append(losses, l)
	if len(losses) > maxLosses {
		i := weakest(losses)
		losses = slices.Delete(losses, i, i+1)
	}
	w.losses = losses
	return w, isNew
}

// withoutAnswered returns the loss l, which is no longer reported, with the requests that were not
// answered since: the entry judges requests only.
func (w Watch) withoutAnswered(l loss) loss {
	l.parts = dragonflymap.Map[string, int]{}
	for id := range l.requests.All() {
		if at, ok := w.servedAt(id); ok && at.After(l.at) {
			l.requests = l.requests.Without(id)
		}
	}
	return l
}

// weakest returns the index of the oldest loss of those whose requests were lost least often. The
// latest one is not among them.
func weakest(losses []loss) (index int) {
	counts := map[string]int{}
	for _, l := range losses {
		for id := range l.requests.All() {
			counts[id]++
		}
	}
	least := 0
	for i, l := range losses[:len(losses)-1] {
		most := 0
		for id := range l.requests.All() {
			most = max(most, counts[id])
		}
		if i == 0 || most < least {
			index, least = i, most
		}
	}
	return index
}

// withRefused records that an endpoint has refused a connection. After a loss, this shows
// that it has crashed; broken connections alone do not.
func (w Watch) withRefused(now dragonflyinstant.Instant, ev dragonflypartevent.Event) Watch {
	for i, l := range w.losses {
		if !l.is(ev.ID, ev.Boot) || l.refused || now.Sub(l.latest) > refusedTime {
			continue
		}
		w.sequence++
		l.refused, l.sequence = true, w.sequence
		losses := append([]loss(nil), w.losses...)
		losses[i] = l
		w.losses = losses
		return w
	}
	return w
}

// Sequence returns the number of the latest report to control.
func (w Watch) Sequence() uint64 { return w.sequence }

// Suspects reports whether an endpoint was recently lost with a request that has one of the
// given keys, or the leader asks for an answer to one of them and this entry has seen none since.
func (w Watch) Suspects(now dragonflyinstant.Instant, keys []string) bool {
	for _, id := range keys {
		if k, ok := w.watched.Get(id); ok && !k.answered {
			return true
		}
	}
	for _, l := range w.losses {
		if now.Sub(l.at) > ReportTime {
			continue
		}
		for _, id := range keys {
			_, isPart := l.parts.Get(id)
			if _, isRequest := l.requests.Get(id); isPart || isRequest {
				return true
			}
		}
	}
	return false
}

// Losses returns the losses with numbers above after that are not older than ReportTime.
func (w Watch) Losses(now dragonflyinstant.Instant, after uint64) (all []dragonflyloss.Loss) {
	for _, l := range w.losses {
		if l.sequence <= after || now.Sub(l.at) > ReportTime {
			continue
		}
		report := dragonflyloss.Loss{ID: l.id, Boot: l.boot, Age: now.Sub(l.at), Refused: l.refused}
		for id, depth := range l.parts.All() {
			report.Parts = append(report.Parts, w.lostPart(now, id, depth))
		}
		for id, sentAt := range l.requests.All() {
			p := w.lostPart(now, id, 0)
			p.SentAge = now.Sub(sentAt)
			report.Parts = append(report.Parts, p)
		}
		all = append(all, report)
	}
	return all
}

func (w Watch) lostPart(now dragonflyinstant.Instant, id string, depth int) dragonflypromptpart.Part {
	p := dragonflypromptpart.Part{ID: id, Depth: depth}
	if at, ok := w.servedAt(id); ok {
		p.Served, p.ServedAge = true, now.Sub(at)
	}
	return p
}
