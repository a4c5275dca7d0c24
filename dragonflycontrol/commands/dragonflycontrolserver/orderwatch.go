package dragonflycontrolserver

import (
	"sync"

	"dragonflyrelay.example/library/common/dragonflybroadcast"
)

// orderWatch wakes the calls of agents that wait for another order to their engine. A
// broadcast to all agents would make each change cost as much as there are agents. The
// zero value is ready to use.
type orderWatch struct {
	mu      sync.Mutex
	waiting map[string]*dragonflybroadcast.Broadcast // by address of the engine
}

// Changed returns a channel that is closed when the order to the engine at address may
// have changed. A waiter must get the channel before it reads the order.
func (w *orderWatch) Changed(address string) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	b, ok := w.waiting[address]
	if !ok {
		if w.waiting == nil {
			w.waiting = map[string]*dragonflybroadcast.Broadcast{}
		}
		b = &dragonflybroadcast.Broadcast{}
		w.waiting[address] = b
	}
	return b.Changed()
}

// Fire wakes the agents of the engines at addresses.
func (w *orderWatch) Fire(addresses []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, address := range addresses {
		w.fire(address)
	}
}

// FireAll wakes all agents.
func (w *orderWatch) FireAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for address := range w.waiting {
		w.fire(address)
	}
}

// fire wakes the agents of one engine and forgets it, so that the map is bounded by
// the agents that wait.
func (w *orderWatch) fire(address string) {
	if b, ok := w.waiting[address]; ok {
		b.Fire()
		delete(w.waiting, address)
	}
}
