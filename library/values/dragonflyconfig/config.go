// Package dragonflyconfig defines the configuration that operators set.
package dragonflyconfig

import (
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflyclass"
	"dragonflyrelay.example/library/values/dragonflyservice"
	"dragonflyrelay.example/library/values/dragonflyworkspace"
	"dragonflyrelay.example/library/values/dragonflyzone"
)

// Config is one version of the configuration. The zero Config is empty and has
// version 0.
type Config struct {
	version    uint64
	classes    dragonflymap.Map[string, dragonflyclass.Class]
	workspaces dragonflymap.Map[string, dragonflyworkspace.Workspace]
	services   dragonflymap.Map[string, dragonflyservice.Service]
	zones      dragonflymap.Map[string, dragonflyzone.Zone]
	groupSize  int
}

// Version returns the configuration's version, which rises with every change.
func (c Config) Version() uint64 { return c.version }

// WithVersion returns the configuration with version v.
func (c Config) WithVersion(v uint64) Config {
	c.version = v
	return c
}

// GroupSize returns the number of instances that a replica of a model spans; it
// is at least 1.
func (c Config) GroupSize() int { return max(c.groupSize, 1) }

// WithGroupSize returns the configuration with replicas of n instances.
func (c Config) WithGroupSize(n int) Config {
	c.groupSize = n
	return c
}

// Classes returns the classes by name.
func (c Config) Classes() dragonflymap.Map[string, dragonflyclass.Class] { return c.classes }

// WithClass returns the configuration with class v, which replaces
// any class of the same name.
func (c Config) WithClass(v dragonflyclass.Class) Config {
	c.classes = c.classes.With(v.Name(), v)
	return c
}

// WithoutClass returns the configuration without the named class.
func (c Config) WithoutClass(name string) Config {
	c.classes = c.classes.Without(name)
	return c
}

// Workspaces returns the workspaces by name.
func (c Config) Workspaces() dragonflymap.Map[string, dragonflyworkspace.Workspace] {
	return c.workspaces
}

// WithWorkspace returns the configuration with workspace v, which replaces
// any workspace of the same name.
func (c Config) WithWorkspace(v dragonflyworkspace.Workspace) Config {
	c.workspaces = c.workspaces.With(v.Name(), v)
	return c
}

// WithoutWorkspace returns the configuration without the named workspace.
func (c Config) WithoutWorkspace(name string) Config {
	c.workspaces = c.workspaces.Without(name)
	return c
}

// Services returns the services by name.
func (c Config) Services() dragonflymap.Map[string, dragonflyservice.Service] { return c.services }

// WithService returns the configuration with service v, which replaces
// any service of the same name.
func (c Config) WithService(v dragonflyservice.Service) Config {
	c.services = c.services.With(v.Name(), v)
	return c
}

// WithoutService returns the configuration without the named service.
func (c Config) WithoutService(name string) Config {
	c.services = c.services.Without(name)
	return c
}

// Zones returns the zones by name.
func (c Config) Zones() dragonflymap.Map[string, dragonflyzone.Zone] { return c.zones }

// WithZone returns the configuration with zone v, which replaces
// any zone of the same name.
func (c Config) WithZone(v dragonflyzone.Zone) Config {
	c.zones = c.zones.With(v.Name(), v)
	return c
}

// WithoutZone returns the configuration without the named zone.
func (c Config) WithoutZone(name string) Config {
	c.zones = c.zones.Without(name)
	return c
}

// ZoneOut reports whether operators have taken the named zone out of service. A
// zone that the configuration does not mention is in service.
func (c Config) ZoneOut(name string) bool {
	z, ok := c.zones.Get(name)
	return ok && z.Out()
}

// WorkspaceByKeyHash returns the workspace whose bearer key has the given
// SHA-256 in hex.
func (c Config) WorkspaceByKeyHash(hash string) (w dragonflyworkspace.Workspace, ok bool) {
	for _, w := range c.workspaces.All() {
		if w.KeyHash() == hash {
			return w, true
		}
	}
	return w, false
}
