// Package dragonflylatest publishes the latest version of an immutable value from
// the duty that owns it to any number of readers.
package dragonflylatest

import "sync/atomic"

// Latest holds the latest published value. The zero value holds the zero T. T must
// be immutable, because all readers share the stored value.
type Latest[T any] struct {
	p atomic.Pointer[T]
}

// Store publishes v.
func (l *Latest[T]) Store(v T) { l.p.Store(&v) }

// Load returns the latest published value.
func (l *Latest[T]) Load() (v T) {
	if p := l.p.Load(); p != nil {
		return *p
	}
	return v
}
