// Package dragonflyclass defines a class of requests with its service level target.
package dragonflyclass

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
)

// Class is a class of requests with its service level target. The zero Class has
// no target.
type Class struct {
	name        string
	priority    int
	answered    int
	firstToken  dragonflyduration.Duration
	gap         dragonflyduration.Duration
	complete    int
	deadline    dragonflyduration.Duration
	crossDomain bool
}

// Name returns the class's name, unique in a configuration.
func (c Class) Name() string { return c.name }

// WithName returns a copy of the class with name v.
func (c Class) WithName(v string) Class {
	c.name = v
	return c
}

// Priority returns the rank of the class; 0 is served first and degraded last.
func (c Class) Priority() int { return c.priority }

// WithPriority returns a copy of the class with priority v.
func (c Class) WithPriority(v int) Class {
	c.priority = v
	return c
}

// Answered returns the target share of requests that are answered, per mille.
func (c Class) Answered() int { return c.answered }

// WithAnswered returns a copy of the class with an answered share of v per mille.
func (c Class) WithAnswered(v int) Class {
	c.answered = v
	return c
}

// FirstToken returns the target time to the first token.
func (c Class) FirstToken() dragonflyduration.Duration { return c.firstToken }

// WithFirstToken returns a copy of the class with target v to the first token.
func (c Class) WithFirstToken(v dragonflyduration.Duration) Class {
	c.firstToken = v
	return c
}

// Gap returns the target time between two tokens.
func (c Class) Gap() dragonflyduration.Duration { return c.gap }

// WithGap returns a copy of the class with target v between two tokens.
func (c Class) WithGap(v dragonflyduration.Duration) Class {
	c.gap = v
	return c
}

// Complete returns the target share of answers that are complete, per mille.
func (c Class) Complete() int { return c.complete }

// WithComplete returns a copy of the class with a complete share of v per mille.
func (c Class) WithComplete(v int) Class {
	c.complete = v
	return c
}

// Deadline returns the time after which an answer is useless, 0 for none.
func (c Class) Deadline() dragonflyduration.Duration { return c.deadline }

// WithDeadline returns a copy of the class with deadline v, 0 for none.
func (c Class) WithDeadline(v dragonflyduration.Duration) Class {
	c.deadline = v
	return c
}

// CrossDomain reports whether a group that spans several fabric domains may serve
// the class.
func (c Class) CrossDomain() bool { return c.crossDomain }

// WithCrossDomain returns a copy of the class that permits groups over several
// fabric domains if v is set.
func (c Class) WithCrossDomain(v bool) Class {
	c.crossDomain = v
	return c
}
