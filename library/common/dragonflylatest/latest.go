// Package dragonflylatest publishes the newest version of an immutable value
// from the duty that owns it to any number of readers.
package dragonflylatest

import "sync/atomic"

// Latest holds the newest published value. The zero value holds the zero T.
// T must be immutable: readers see the very value that was stored.
type Latest[T any] struct {
	p atomic.Pointer[T]
}

// Store publishes v.
func (l *Latest[T]) Store(v T) { l.p.Store(&v) }

// Load returns the newest published value.
func (l *Latest[T]) Load() (v T) {
	if p := l.p.Load(); p != nil {
		return *p
	}
	return v
}
