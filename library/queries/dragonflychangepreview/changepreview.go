// Package dragonflychangepreview computes the configuration that an operator's
// change would result in. Only the replicated state machine decides whether the
// change is applied.
package dragonflychangepreview

import (
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyconfig"
)

// Apply returns the configuration after an operator's change, with the version
// unchanged. Other kinds of changes have no effect.
func Apply(c dragonflyconfig.Config, ch dragonflychange.Change) dragonflyconfig.Config {
	switch ch.Kind {
	case dragonflychange.SetClass:
		return c.WithClass(ch.Class)
	case dragonflychange.RemoveClass:
		return c.WithoutClass(ch.Class.Name())
	case dragonflychange.SetWorkspace:
		return c.WithWorkspace(ch.Workspace)
	case dragonflychange.RemoveWorkspace:
		return c.WithoutWorkspace(ch.Workspace.Name())
	case dragonflychange.SetService:
		return c.WithService(ch.Service)
	case dragonflychange.RemoveService:
		return c.WithoutService(ch.Service.Name())
	case dragonflychange.SetZone:
		return c.WithZone(ch.Zone)
	case dragonflychange.SetGroupSize:
		return c.WithGroupSize(ch.GroupSize)
	default:
		return c
	}
}
