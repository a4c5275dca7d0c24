package dragonflypartwatch

import (
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflypromptpart"
)

// watchedKey is a key of which the leader asks for answers.
type watchedKey struct {
	sequence uint64 // of the answer to report, 0 for none
	answered bool   // since the leader has asked
}

// withWatched replaces the keys of which the leader asks for answers. Those that the entry has
// seen before are reported; the leader knows whether they precede the crash.
func (w Watch) withWatched(ids []string) Watch {
	w.watched = dragonflymap.Map[string, watchedKey]{}
	for _, id := range ids {
		k := watchedKey{}
		if _, ok := w.servedAt(id); ok {
			w.answerSequence++
			k.sequence = w.answerSequence
		}
		w.watched = w.watched.With(id, k)
	}
	return w
}

// withWatchedAnswer records an answer to the key id if the leader asks for it. One answer is
// enough until the leader asks again.
func (w Watch) withWatchedAnswer(id string) Watch {
	k, ok := w.watched.Get(id)
	if !ok || k.answered {
		return w
	}
	w.answerSequence++
	w.watched = w.watched.With(id, watchedKey{sequence: w.answerSequence, answered: true})
	return w
}

// AnswerSequence returns the number of the latest answer of which the leader has asked.
func (w Watch) AnswerSequence() uint64 { return w.answerSequence }

// Answers returns the latest answers to the keys of which the leader asks, those with numbers
// above after.
func (w Watch) Answers(now dragonflyinstant.Instant, after uint64) (all []dragonflypromptpart.Part) {
	for id, k := range w.watched.All() {
		if k.sequence <= after {
			continue
		}
		if at, ok := w.servedAt(id); ok {
			all = append(all, dragonflypromptpart.Part{ID: id, Served: true, ServedAge: now.Sub(at)})
		}
	}
	return all
}
