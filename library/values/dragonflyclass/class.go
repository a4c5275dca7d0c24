// Package dragonflyclass is a class of work with the target that operators state.
package dragonflyclass

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
)

// Class is a class of work with its target. The zero Class has no target.
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

// WithName returns the class with the class's name, unique in a configuration set to v.
func (c Class) WithName(v string) Class {
	c.name = v
	return c
}

// Priority returns the rank in which classes are served; 0 is served first and loses last.
func (c Class) Priority() int { return c.priority }

// WithPriority returns the class with the rank in which classes are served; 0 is served first and loses last set to v.
func (c Class) WithPriority(v int) Class {
	c.priority = v
	return c
}

// Answered returns the share of requests to be answered, per mille.
func (c Class) Answered() int { return c.answered }

// WithAnswered returns the class with the share of requests to be answered, per mille set to v.
func (c Class) WithAnswered(v int) Class {
	c.answered = v
	return c
}

// FirstToken returns the target until the first token.
func (c Class) FirstToken() dragonflyduration.Duration { return c.firstToken }

// WithFirstToken returns the class with the target until the first token set to v.
func (c Class) WithFirstToken(v dragonflyduration.Duration) Class {
	c.firstToken = v
	return c
}

// Gap returns the target between tokens.
func (c Class) Gap() dragonflyduration.Duration { return c.gap }

// WithGap returns the class with the target between tokens set to v.
func (c Class) WithGap(v dragonflyduration.Duration) Class {
	c.gap = v
	return c
}

// Complete returns the share of answers to be complete, per mille.
func (c Class) Complete() int { return c.complete }

// WithComplete returns the class with the share of answers to be complete, per mille set to v.
func (c Class) WithComplete(v int) Class {
	c.complete = v
	return c
}

// Deadline returns the time after which an answer is useless, 0 for none.
func (c Class) Deadline() dragonflyduration.Duration { return c.deadline }

// WithDeadline returns the class with the time after which an answer is useless, 0 for none set to v.
func (c Class) WithDeadline(v dragonflyduration.Duration) Class {
	c.deadline = v
	return c
}

// CrossDomain returns whether a group over several fabric domains may serve the class.
func (c Class) CrossDomain() bool { return c.crossDomain }

// WithCrossDomain returns the class with whether a group over several fabric domains may serve the class set to v.
func (c Class) WithCrossDomain(v bool) Class {
	c.crossDomain = v
	return c
}
