// Package dragonflymap provides a persistent sorted map whose zero value is empty,
// so that the immutable states of decision cores can hold collections.
package dragonflymap

import (
	"cmp"
	"iter"

	"github.com/benbjohnson/immutable"
)

// Map is an immutable map sorted by key. With and Without return changed maps
// that share structure with the old one, in O(log n) time and memory.
type Map[K cmp.Ordered, V any] struct {
	m *immutable.SortedMap[K, V]
}

// Get returns the value of k and whether the map contains k.
func (m Map[K, V]) Get(k K) (v V, ok bool) {
	if m.m == nil {
		return v, false
	}
	return m.m.Get(k)
}

// Len returns the number of keys.
func (m Map[K, V]) Len() int {
	if m.m == nil {
		return 0
	}
	return m.m.Len()
}

// With returns the map with the value of k set to v.
func (m Map[K, V]) With(k K, v V) Map[K, V] {
	if m.m == nil {
		return Map[K, V]{immutable.NewSortedMap[K, V](nil).Set(k, v)}
	}
	return Map[K, V]{m.m.Set(k, v)}
}

// Without returns the map without k.
func (m Map[K, V]) Without(k K) Map[K, V] {
	if m.m == nil {
		return m
	}
	return Map[K, V]{m.m.Delete(k)}
}

// All yields the entries in ascending key order.
func (m Map[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		if m.m == nil {
			return
		}
		for it := m.m.Iterator(); !it.Done(); {
			k, v, _ := it.Next()
			if !yield(k, v) {
				return
			}
		}
	}
}

// From yields the entries with keys of at least k in ascending key order. It finds
// the first one in O(log n) time.
func (m Map[K, V]) From(k K) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		if m.m == nil {
			return
		}
		it := m.m.Iterator()
		for it.Seek(k); !it.Done(); {
			k, v, _ := it.Next()
			if !yield(k, v) {
				return
			}
		}
	}
}

// Keys returns the keys in ascending order.
func (m Map[K, V]) Keys() []K {
	keys := make([]K, 0, m.Len())
	for k := range m.All() {
		keys = append(keys, k)
	}
	return keys
}
