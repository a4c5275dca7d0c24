package dragonflyengineagent

import "dragonflyrelay.example/library/values/dragonflyobservation"

// refusal is the latest order to join a group that a start of the engine has refused, since it
// has seen a higher epoch. The engine names that epoch only while it is in the group.
type refusal struct {
	boot  int64
	epoch uint64
}

// epochFor returns the refused epoch for the report o, 0 once the engine has started again or
// is in a group of that epoch or a later one.
func (r refusal) epochFor(o dragonflyobservation.Observation) (epoch uint64) {
	if r.boot != o.Boot || o.Group.Epoch >= r.epoch {
		return 0
	}
	return r.epoch
}
