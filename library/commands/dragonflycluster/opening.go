package dragonflycluster

import (
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyresult"
)

// Opened returns a copy of the names of the latest groups whose heads have opened, oldest first.
func (c Cluster) Opened() []string { return c.opened.Items() }

// recordOpenings records the groups whose heads have opened. The oldest ones make room for them.
func (c Cluster) recordOpenings(ch dragonflychange.Change) (Cluster, dragonflyresult.Result) {
	for _, name := range ch.Opened {
		c.opened = c.opened.With(name)
	}
	if n := c.opened.Len(); n > MaxOpened {
		c.opened = c.opened.Slice(n-MaxOpened, n)
	}
	return c, c.accepted()
}

// checkOpenings validates the names of groups whose heads have opened.
func checkOpenings(names []string) (fault string) {
	if fault = checkRange("number of groups", len(names), 1, maxOpenings); fault != "" {
		return fault
	}
	for _, name := range names {
		if fault = checkRange("length of the group's name", len(name), 1, maxKeyBytes); fault != "" {
			return fault
		}
	}
	return ""
}
