package dragonflycluster

import (
	"fmt"
	"strings"

	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyclass"
	"dragonflyrelay.example/library/values/dragonflyservice"
	"dragonflyrelay.example/library/values/dragonflyworkspace"
	"dragonflyrelay.example/library/values/dragonflyzone"
)

// summary describes an operator's change in one line.
func summary(ch dragonflychange.Change) string {
	switch ch.Kind {
	case dragonflychange.SetClass:
		return "set " + describeClass(ch.Class)
	case dragonflychange.RemoveClass:
		return "remove class " + ch.Class.Name()
	case dragonflychange.SetWorkspace:
		return "set " + describeWorkspace(ch.Workspace)
	case dragonflychange.RemoveWorkspace:
		return "remove workspace " + ch.Workspace.Name()
	case dragonflychange.SetService:
		return "set " + describeService(ch.Service)
	case dragonflychange.RemoveService:
		return "remove service " + ch.Service.Name()
	case dragonflychange.SetZone:
		return "set " + describeZone(ch.Zone)
	default:
		return fmt.Sprintf("set group size %d", ch.GroupSize)
	}
}

func describeClass(c dragonflyclass.Class) string {
	return fmt.Sprintf("class %s: priority %d, answered %d per mille, first token %d ms, gap %d ms, complete %d per mille, deadline %d ms, cross-domain %t",
		c.Name(), c.Priority(), c.Answered(), c.FirstToken().Milliseconds(), c.Gap().Milliseconds(), c.Complete(), c.Deadline().Milliseconds(), c.CrossDomain())
}

func describeWorkspace(w dragonflyworkspace.Workspace) string {
	return fmt.Sprintf("workspace %s: class %s, at most %d in flight, key hash %.8s", w.Name(), w.Class(), w.MaxInFlight(), w.KeyHash())
}

func describeService(s dragonflyservice.Service) string {
	return fmt.Sprintf("service %s: idempotent methods [%s], timeout %d ms", s.Name(), strings.Join(s.IdempotentMethods(), " "), s.Timeout().Milliseconds())
}

func describeZone(z dragonflyzone.Zone) string {
	state := "in service"
	switch {
	case z.Out():
		state = fmt.Sprintf("out of service, notice %d ms", z.Notice().Milliseconds())
	case z.Planned():
		state = fmt.Sprintf("to be taken out, notice %d ms", z.Notice().Milliseconds())
	}
	return fmt.Sprintf("zone %s: %s", z.Name(), state)
}
