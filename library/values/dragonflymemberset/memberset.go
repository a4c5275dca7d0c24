// Package dragonflymemberset defines the voting members of the replicated log.
package dragonflymemberset

import (
	"cmp"
	"slices"
)

// MemberSet is the set of voting members. While the members change, it also holds the
// members before the change: a decision then needs a majority of the members before and one
// of those after it (Ongaro and Ousterhout 2014, section 6). The zero value has no members.
type MemberSet struct {
	names    []string // after the change, sorted
	outgoing []string // before the change, sorted; empty if no change is in progress
}

// New returns the set of the named members.
func New(names ...string) MemberSet { return MemberSet{names: sorted(names)} }

// Names returns the sorted members, during a change those after it. Callers must not modify
// it.
func (s MemberSet) Names() []string { return s.names }

// Outgoing returns the sorted members before the change in progress, none if no change is in
// progress. Callers must not modify it.
func (s MemberSet) Outgoing() []string { return s.outgoing }

// All returns the sorted members, during a change those before and after it.
func (s MemberSet) All() []string {
	if !s.Changing() {
		return s.names
	}
	return sorted(append(slices.Clone(s.names), s.outgoing...))
}

// Empty reports whether the set has no members.
func (s MemberSet) Empty() bool { return len(s.names) == 0 }

// Changing reports whether the set holds the members before and after a change.
func (s MemberSet) Changing() bool { return len(s.outgoing) > 0 }

// Contains reports whether name is a member, during a change before or after it.
func (s MemberSet) Contains(name string) bool {
	return slices.Contains(s.names, name) || slices.Contains(s.outgoing, name)
}

// Equal reports whether both sets are the same.
func (s MemberSet) Equal(other MemberSet) bool {
	return slices.Equal(s.names, other.names) && slices.Equal(s.outgoing, other.outgoing)
}

// WithOutgoing returns the set with the members before a change in progress.
func (s MemberSet) WithOutgoing(names ...string) MemberSet {
	s.outgoing = sorted(names)
	return s
}

// WithReplacement returns the set with the change that replaces the member old by name.
func (s MemberSet) WithReplacement(old, name string) MemberSet {
	next := slices.DeleteFunc(slices.Clone(s.names), func(n string) bool { return n == old })
	return MemberSet{names: sorted(append(next, name)), outgoing: s.names}
}

// WithAdded returns the set with the change that adds the named members.
func (s MemberSet) WithAdded(names ...string) MemberSet {
	return MemberSet{names: sorted(append(slices.Clone(s.names), names...)), outgoing: s.names}
}

// WithChangeCompleted returns the set with only the members after the change in progress.
func (s MemberSet) WithChangeCompleted() MemberSet {
	s.outgoing = nil
	return s
}

// HasMajority reports whether f holds for a majority of the members, during a change for a
// majority before it and one after it.
func (s MemberSet) HasMajority(f func(name string) bool) bool {
	return Reached(s, func(name string) (n int) {
		if f(name) {
			n = 1
		}
		return n
	}) == 1
}

// Reached returns the highest value that a majority of the members has reached, during a
// change one before it and one after it. F returns the value of a member, the zero value if
// it has none. The result is the zero value if the set has no members.
func Reached[T cmp.Ordered](s MemberSet, f func(name string) T) (value T) {
	if s.Empty() {
		return value
	}
	value = reached(s.names, f)
	if s.Changing() {
		value = min(value, reached(s.outgoing, f))
	}
	return value
}

func reached[T cmp.Ordered](names []string, f func(name string) T) T {
	var values []T
	for _, name := range names {
		values = append(values, f(name))
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// sorted returns the names in order, each of them once.
func sorted(names []string) []string {
	all := slices.Clone(names)
	slices.Sort(all)
	return slices.Compact(all)
}
