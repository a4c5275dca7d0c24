package dragonflystreamwatch

import (
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflycontact"
)

// recordAnswer records an event of the endpoint id. The caller holds the mutex.
func (w *Watch[S]) recordAnswer(id string, now dragonflyinstant.Instant) {
	if w.answeredAt == nil {
		w.answeredAt = map[string]dragonflyinstant.Instant{}
	}
	w.answeredAt[id] = max(w.answeredAt[id], now)
}

// Contacts returns the latest events of the endpoints ids, without those that have had none.
func (w *Watch[S]) Contacts(now dragonflyinstant.Instant, ids []string) (all []dragonflycontact.Contact) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range ids {
		if at, ok := w.answeredAt[id]; ok {
			all = append(all, dragonflycontact.Contact{ID: id, Age: now.Sub(at)})
		}
	}
	return all
}
