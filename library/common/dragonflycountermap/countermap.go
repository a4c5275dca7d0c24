// Package dragonflycountermap counts events by keys that other processes may name.
package dragonflycountermap

import (
	"expvar"
	"sync"
)

const (
	// maxKeys bounds the keys of a map, which are kept for the life of the process.
	maxKeys = 64
	// maxKeyBytes bounds the length of a key.
	maxKeyBytes = 128
	// Other is the key of the events whose own key is too long or beyond maxKeys.
	Other = "other"
)

// CounterMap is a map of counters whose size does not depend on the keys that occur. Any number
// of goroutines may use it. Variable must be set.
type CounterMap struct {
	// Variable is the published map. Nothing else may add to it.
	Variable *expvar.Map

	mu   sync.Mutex
	keys map[string]bool
}

// New returns a CounterMap that is published under name.
func New(name string) *CounterMap { return &CounterMap{Variable: expvar.NewMap(name)} }

// Add adds delta to the counter of key, or to that of Other.
func (m *CounterMap) Add(key string, delta int64) { m.Variable.Add(m.bounded(key), delta) }

// bounded returns key if it has a counter or may have one, and Other if not.
func (m *CounterMap) bounded(key string) string {
	if len(key) > maxKeyBytes {
		return Other
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.keys[key]:
		return key
	case len(m.keys) >= maxKeys:
		return Other
	case m.keys == nil:
		m.keys = map[string]bool{}
	}
	m.keys[key] = true
	return key
}
