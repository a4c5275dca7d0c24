// Package dragonflyservice defines a plain service, which is not a model engine.
package dragonflyservice

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
)

// Service is a plain service. The zero Service has no call that may be retried.
type Service struct {
	name              string
	idempotentMethods []string
	timeout           dragonflyduration.Duration
}

// Name returns the service's name, unique in a configuration.
func (s Service) Name() string { return s.name }

// WithName returns a copy of the service with name v.
func (s Service) WithName(v string) Service {
	s.name = v
	return s
}

// IdempotentMethods returns the HTTP methods whose calls may be retried, in upper
// case. Callers must not modify the slice.
func (s Service) IdempotentMethods() []string { return s.idempotentMethods }

// WithIdempotentMethods returns a copy of the service in which calls of the HTTP
// methods v, in upper case, may be retried. Callers must not modify v afterwards.
func (s Service) WithIdempotentMethods(v []string) Service {
	s.idempotentMethods = v
	return s
}

// Timeout returns the time limit of a call, 0 for the default of 30 s.
func (s Service) Timeout() dragonflyduration.Duration { return s.timeout }

// WithTimeout returns a copy of the service with time limit v for a call, 0 for the
// default of 30 s.
func (s Service) WithTimeout(v dragonflyduration.Duration) Service {
	s.timeout = v
	return s
}

// Idempotent reports whether a call with the HTTP method may be retried.
func (s Service) Idempotent(method string) bool {
	for _, m := range s.idempotentMethods {
		if m == method {
			return true
		}
	}
	return false
}
