// Package dragonflyservice is a plain service beside the model engines.
package dragonflyservice

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
)

// Service is a plain service. The zero Service has no call that may be repeated.
type Service struct {
	name              string
	idempotentMethods []string
	timeout           dragonflyduration.Duration
}

// Name returns the service's name, unique in a configuration.
func (s Service) Name() string { return s.name }

// WithName returns the service with the service's name, unique in a configuration set to v.
func (s Service) WithName(v string) Service {
	s.name = v
	return s
}

// IdempotentMethods returns the HTTP methods whose calls may be repeated, in upper case; callers must not write it.
func (s Service) IdempotentMethods() []string { return s.idempotentMethods }

// WithIdempotentMethods returns the service with the HTTP methods whose calls may be repeated, in upper case; callers must not write it set to v.
func (s Service) WithIdempotentMethods(v []string) Service {
	s.idempotentMethods = v
	return s
}

// Timeout returns how long a call may take, 0 for the default of 30 s.
func (s Service) Timeout() dragonflyduration.Duration { return s.timeout }

// WithTimeout returns the service with how long a call may take, 0 for the default of 30 s set to v.
func (s Service) WithTimeout(v dragonflyduration.Duration) Service {
	s.timeout = v
	return s
}

// Idempotent reports whether a call with the HTTP method may be repeated.
func (s Service) Idempotent(method string) bool {
	for _, m := range s.idempotentMethods {
		if m == method {
			return true
		}
	}
	return false
}
