// Package dragonflydocumentservice defines one service of a routing document.
package dragonflydocumentservice

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyengineprofile"
)

// Service is a set of upstreams that requests are routed to.
type Service struct {
	// Name identifies the service.
	Name string
	// MaxConnections is the number of connections that one upstream accepts.
	MaxConnections int
	// ColdRate is the number of requests per second that a cold upstream can serve;
	// ColdTime is the time that an upstream stays cold after its start.
	ColdRate float64
	ColdTime dragonflyduration.Duration
	// Engine is the profile of the service's engines; a plain service has no models.
	Engine dragonflyengineprofile.EngineProfile
}

// Grouped reports whether groups of instances serve the service.
func (s Service) Grouped() bool { return len(s.Engine.Models) > 0 }

// ServedModel returns name if the service has a model of that name, and "" if not.
func (s Service) ServedModel(name string) string {
	if _, ok := s.Engine.Model(name); ok {
		return name
	}
	return ""
}
