// Package dragonflyplanstart decides when a new leader begins to form groups of engines. A
// change of leader alone leaves the groups at work, which engines must report first. After a
// full outage no engine is in a group, and callers are refused until the first groups serve.
package dragonflyplanstart

import "dragonflyrelay.example/library/common/dragonflyduration"

const (
	// MinDelay is the minimum time after which groups are formed if some may be at work:
	// engines report those first.
	MinDelay = 1500 * dragonflyduration.Millisecond
	// SettleDelay is the time without a new upstream after which the engines that are known
	// count as all of them. Groups that are formed before all domains have reported are badly
	// spread.
	SettleDelay = 500 * dragonflyduration.Millisecond
	// MaxDelay is the time after which they count as all of them in any case.
	MaxDelay = 4 * dragonflyduration.Second
	// MinOutageDelay is the minimum time after which groups are formed after a full outage.
	// Agents search for the leader every 100 ms, so that an engine that is in a group is
	// reported by then.
	MinOutageDelay = 300 * dragonflyduration.Millisecond
	// CompleteDelay replaces SettleDelay while each engine is known both by its own
	// heartbeat and by the agent beside it. It covers two searches of an agent.
	CompleteDelay = 200 * dragonflyduration.Millisecond
	// minDomains is the number of fabric domains that must be known to form groups early. With
	// a single one, the others may not have reported, and all groups would be in it.
	minDomains = 2
)

// View is what a new leader knows of its engines.
type View struct {
	// Led is the time for which the instance has led, and Quiet the time since an engine,
	// another upstream or an agent was heard of for the first time.
	Led, Quiet dragonflyduration.Duration
	// HasTraffic reports whether requests are in progress.
	HasTraffic bool
	// HasGroups reports whether a report names a group of an earlier leader.
	HasGroups bool
	// Domains is the number of fabric domains of the engines that are known.
	Domains int
	// Incomplete is the number of engines that are known only by their heartbeat, or only by
	// the agent beside them.
	Incomplete int
}

// Start reports whether groups may be formed, and if so, whether only of hosts that hold the
// weights of their model: an engine that is not known yet may hold weights that another would
// have to load from the store, which takes ten times as long.
func (v View) Start() (mayForm, onlyStaged bool) {
	switch {
	case v.Led >= MinDelay && (v.Quiet >= SettleDelay || v.HasTraffic || v.Led >= MaxDelay):
		return true, false
	case v.HasGroups || v.Led < MinOutageDelay || v.Domains < minDomains:
		return false, false
	case v.Quiet >= SettleDelay, v.Incomplete == 0 && v.Quiet >= CompleteDelay:
		return true, true
	default:
		return false, false
	}
}

// In returns the expected time until groups may be formed, 0 if they may be already. It
// counts on no further engine or agent to be heard of for the first time.
func (v View) In() dragonflyduration.Duration {
	if mayForm, _ := v.Start(); mayForm {
		return 0
	}
	usual := v.AllIn()
	settle := SettleDelay
	if v.Incomplete == 0 {
		settle = CompleteDelay
	}
	if v.HasGroups || v.Domains < minDomains {
		return usual
	}
	return min(usual, max(MinOutageDelay-v.Led, settle-v.Quiet, 0))
}

// AllIn returns the expected time until the engines that are known count as all of them, 0 if
// they do already. Until then, those that hold the weights of a model may not have reported.
func (v View) AllIn() dragonflyduration.Duration {
	if mayForm, onlyStaged := v.Start(); mayForm && !onlyStaged {
		return 0
	}
	return max(MinDelay-v.Led, SettleDelay-v.Quiet, 0)
}
