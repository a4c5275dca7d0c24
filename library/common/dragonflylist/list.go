// Package dragonflylist provides a persistent list whose zero value is empty, so
// that the immutable states of decision cores can hold sequences.
package dragonflylist

import (
	"iter"

	"github.com/benbjohnson/immutable"
)

// List is an immutable sequence. With and Slice return changed lists that share
// structure with the old one, in O(log n) time and memory.
type List[T any] struct {
	l *immutable.List[T]
}

// Len returns the number of items.
func (l List[T]) Len() int {
	if l.l == nil {
		return 0
	}
	return l.l.Len()
}

// At returns the item at index i, which must be in range.
func (l List[T]) At(i int) T { return l.l.Get(i) }

// With returns the list with v appended.
func (l List[T]) With(v T) List[T] {
	if l.l == nil {
		return List[T]{immutable.NewList(v)}
	}
	return List[T]{l.l.Append(v)}
}

// Slice returns the list of the items with indexes in [from, to).
func (l List[T]) Slice(from, to int) List[T] {
	if from >= to {
		return List[T]{}
	}
	return List[T]{l.l.Slice(from, to)}
}

// All yields the indexes and items in ascending order of index.
func (l List[T]) All() iter.Seq2[int, T] {
	return func(yield func(int, T) bool) {
		if l.l == nil {
			return
		}
		for it := l.l.Iterator(); !it.Done(); {
			i, v := it.Next()
			if !yield(i, v) {
				return
			}
		}
	}
}

// Items returns a copy of the list as a slice, nil if it is empty.
func (l List[T]) Items() []T {
	if l.Len() == 0 {
		return nil
	}
	items := make([]T, 0, l.Len())
	for _, v := range l.All() {
		items = append(items, v)
	}
	return items
}
