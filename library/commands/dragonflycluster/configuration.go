package dragonflycluster

import (
	"fmt"

	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyconfig"
	"dragonflyrelay.example/library/values/dragonflyhistory"
	"dragonflyrelay.example/library/values/dragonflyresult"
)

// configure applies an operator's change of the configuration. A change based on
// a version other than the one in force is a conflict; its result shows both
// versions and the current value of the item to change.
func (c Cluster) configure(ch dragonflychange.Change) (Cluster, dragonflyresult.Result) {
	if ch.Base != c.config.Version() {
		return c, c.conflict(ch)
	}
	next, fault := configAfter(c.config, ch)
	if fault != "" {
		return c, c.invalid(fault)
	}
	c.config = next.WithVersion(c.config.Version() + 1)
	if c.history.Len() >= MaxHistory {
		c.history = c.history.Slice(1, c.history.Len())
	}
	c.history = c.history.With(dragonflyhistory.Entry{
		Version: c.config.Version(), ChangeID: ch.ID, Operator: ch.Operator, At: ch.At, Summary: summary(ch),
	})
	return c, c.accepted()
}

func (c Cluster) conflict(ch dragonflychange.Change) dragonflyresult.Result {
	r := dragonflyresult.Result{
		Outcome: dragonflyresult.Conflict, Version: c.config.Version(), Base: ch.Base, Current: describeCurrent(c.config, ch),
	}
	r.Message = fmt.Sprintf("the change rests on version %d, but version %d is in force", ch.Base, r.Version)
	if n := c.history.Len(); n > 0 && ch.Base < r.Version {
		h := c.history.At(n - 1)
		r.Message += fmt.Sprintf(" (last change: %s by %s)", h.Summary, h.Operator)
	}
	return r
}

// configAfter returns the configuration after the change ch. A fault other than
// "" describes why the change is invalid.
func configAfter(cfg dragonflyconfig.Config, ch dragonflychange.Change) (next dragonflyconfig.Config, fault string) {
	switch ch.Kind {
	case dragonflychange.SetClass:
		next = cfg.WithClass(ch.Class)
		return next, checkCount(next.Classes().Len(), "classes")
	case dragonflychange.RemoveClass:
		return removeClass(cfg, ch.Class.Name())
	case dragonflychange.SetWorkspace:
		return cfg.WithWorkspace(ch.Workspace), checkWorkspaceIn(cfg, ch.Workspace)
	case dragonflychange.RemoveWorkspace:
		name := ch.Workspace.Name()
		_, ok := cfg.Workspaces().Get(name)
		return cfg.WithoutWorkspace(name), checkExists(ok, "workspace", name)
	case dragonflychange.SetService:
		next = cfg.WithService(ch.Service)
		return next, checkCount(next.Services().Len(), "services")
	case dragonflychange.RemoveService:
		name := ch.Service.Name()
		_, ok := cfg.Services().Get(name)
		return cfg.WithoutService(name), checkExists(ok, "service", name)
	case dragonflychange.SetZone:
		next = cfg.WithZone(ch.Zone)
		return next, checkCount(next.Zones().Len(), "zones")
	default:
		return cfg.WithGroupSize(ch.GroupSize), ""
	}
}

func removeClass(cfg dragonflyconfig.Config, name string) (next dragonflyconfig.Config, fault string) {
	for _, w := range cfg.Workspaces().All() {
		if w.Class() == name {
			return cfg, fmt.Sprintf("class %q is the default of workspace %q", name, w.Name())
		}
	}
	_, ok := cfg.Classes().Get(name)
	return cfg.WithoutClass(name), checkExists(ok, "class", name)
}

// checkExists returns a fault unless ok.
func checkExists(ok bool, what, name string) (fault string) {
	if ok {
		return ""
	}
	return fmt.Sprintf("%s %q does not exist", what, name)
}

// describeCurrent describes the current value of the item that a conflicting
// change is about.
func describeCurrent(cfg dragonflyconfig.Config, ch dragonflychange.Change) string {
	switch ch.Kind {
	case dragonflychange.SetClass, dragonflychange.RemoveClass:
		v, ok := cfg.Classes().Get(ch.Class.Name())
		return descriptionOrNone(ok, describeClass(v), "class", ch.Class.Name())
	case dragonflychange.SetWorkspace, dragonflychange.RemoveWorkspace:
		v, ok := cfg.Workspaces().Get(ch.Workspace.Name())
		return descriptionOrNone(ok, describeWorkspace(v), "workspace", ch.Workspace.Name())
	case dragonflychange.SetService, dragonflychange.RemoveService:
		v, ok := cfg.Services().Get(ch.Service.Name())
		return descriptionOrNone(ok, describeService(v), "service", ch.Service.Name())
	case dragonflychange.SetZone:
		v, ok := cfg.Zones().Get(ch.Zone.Name())
		return descriptionOrNone(ok, describeZone(v), "zone", ch.Zone.Name())
	default:
		return fmt.Sprintf("group size %d", cfg.GroupSize())
	}
}

// descriptionOrNone returns the description if ok, and otherwise that the item
// is missing.
func descriptionOrNone(ok bool, description, what, name string) string {
	if ok {
		return description
	}
	return fmt.Sprintf("no %s %q", what, name)
}
