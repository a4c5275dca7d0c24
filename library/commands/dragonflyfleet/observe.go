package dragonflyfleet

import (
	"fmt"
	"slices"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyenginegroup"
	"dragonflyrelay.example/library/values/dragonflyobservation"
)

func seconds(d dragonflyduration.Duration) string { return fmt.Sprintf("%g s", d.Seconds()) }

// observe applies a report about an upstream. A report without the id of the
// upstream is from the agent on its machine.
func (s *step) observe(o dragonflyobservation.Observation) {
	if !s.leads {
		return
	}
	if o.Running+o.Queued > 0 && !s.hasTraffic {
		s.hasTraffic, s.changed = true, true
	}
	switch {
	case o.ID == "":
		s.observeAgentReport(o)
	case o.State == dragonflyobservation.Left:
		s.observeLeft(o)
	default:
		s.observeHeartbeat(o)
	}
}

// observeHeartbeat applies the heartbeat of an upstream. A heartbeat that is not
// newer than the latest one by boot and sequence is dropped: a partition may have
// delayed it.
func (s *step) observeHeartbeat(o dragonflyobservation.Observation) {
	if left, ok := s.leftBoots.Get(o.ID); ok && o.Boot <= left.boot {
		return
	}
	if other, ok := s.addresses.Get(o.Address); ok && other != o.ID {
		u, _ := s.upstreams.Get(other)
		if s.outranks(u.obs, o) || u.obs.Boot > o.Boot && !s.outranks(o, u.obs) {
			return
		}
		s.remove(other, "another upstream has its address")
	}
	u, known := s.upstreams.Get(o.ID)
	if known && s.outranks(o, u.obs) {
		s.remove(o.ID, "its service was not in the document")
		u, known = upstream{}, false
	}
	if known && (s.outranks(u.obs, o) || o.Boot < u.obs.Boot || o.Boot == u.obs.Boot && o.Sequence <= u.obs.Sequence) {
		return
	}
	if known && o.Boot > u.obs.Boot {
		s.remove(o.ID, "it has started again")
		u, known = upstream{}, false
	}
	if !known {
		s.lastFoundAt = s.now
		s.emit("upstream-found", o.ID, "", fmt.Sprintf("service %s at %s, domain %q", o.Service, o.Address, o.Domain))
	} else if o.State != u.obs.State {
		s.emit("upstream-state", o.ID, "", fmt.Sprintf("state %d to %d", u.obs.State, o.State))
	}
	if known && u.agentReportAt != 0 {
		// The state from the agent is newer: it polls its engine several times between
		// two heartbeats, and a heartbeat may be seconds late. Without its agent, an
		// engine keeps its group until it starts again.
		o.Group, o.Staged, o.Model, o.Busy = u.obs.Group, u.obs.Staged, u.obs.Model, u.obs.Busy
		o.Running, o.Queued, o.Pace, o.Orders = u.obs.Running, u.obs.Queued, u.obs.Pace, u.obs.Orders
		o.RefusedEpoch = u.obs.RefusedEpoch
	}
	before := u
	u = s.withReportingSince(u)
	if u.unreachable && !u.refused {
		// Its agent only failed to connect: it may lack processor time.
		u.unreachable = false
		s.emit("upstream-reachable", o.ID, "", "its heartbeats arrive")
	}
	if o = s.withLeaving(o); o.State != u.obs.State {
		u.stateSince = s.now
	}
	if u.heartbeatAt == 0 || s.now.Sub(u.heartbeatAt) >= DownAfter {
		u.heartbeatsSince = s.now
	}
	u.obs, u.heartbeatAt = o, s.now
	u.heartbeatDelay = u.heartbeatDelay.WithArrival(s.now, o.Sequence)
	u.warmModel = warmedModel(u)
	s.store(before, u)
	if at, _ := s.addresses.Get(o.Address); at != o.ID {
		s.addresses = s.addresses.With(o.Address, o.ID)
	}
}

// outranks reports whether a is of a service of the document and b is not. The report b
// may come from another writer, whatever boot it names.
func (s *step) outranks(a, b dragonflyobservation.Observation) bool {
	_, named := s.document.Services().Get(a.Service)
	_, other := s.document.Services().Get(b.Service)
	return named && !other
}

// store replaces the state of an upstream after a report, and notes whether the report
// changes anything that orders, groups or the routing table depend on.
func (s *step) store(before, u upstream) {
	if slices.Contains(u.obs.Staged, u.stageModel) {
		s.record("weights-held", u.obs.ID, fmt.Sprintf("model %s, %.1f s after the order", u.stageModel, s.now.Sub(u.stagedAt).Seconds()))
		// The order is carried out. If the engine loses the weights again, another load
		// has to wait for its turn.
		u.stageModel = ""
	}
	s.upstreams = s.upstreams.With(u.obs.ID, u)
	if s.sameStatus(before, u) {
		return
	}
	if g := u.obs.Group; g != before.obs.Group && g.Rank == 0 && g.MayServe() {
		if _, ended := s.endedGroups.Get(g.Name); ended {
			s.emit("ended-group-serving", u.obs.ID, g.Name, "the head says that it is open, "+s.reportAges(before))
		}
	}
	s.touched = u.obs.ID
	s.noteOrderChange(u.obs.Address)
}

// sameStatus reports whether a and b, two successive states of an upstream, agree in
// everything that orders, groups and the routing table depend on. A state that had
// become too old agrees with none.
func (s *step) sameStatus(a, b upstream) bool {
	if s.now.Sub(a.lastReportAt()) > SilentAfter || b.agentReportAt != 0 && s.now.Sub(a.agentReportAt) >= AgentSilentAfter {
		return false
	}
	return a.obs.SameStatus(b.obs) && a.unreachable == b.unreachable && a.silent == b.silent && a.warmModel == b.warmModel &&
		a.obs.Service == b.obs.Service && a.obs.Zone == b.obs.Zone && a.obs.Domain == b.obs.Domain && a.obs.Slots == b.obs.Slots &&
		(a.obs.ColdLeft > 0) == (b.obs.ColdLeft > 0)
}

// reportAges returns how old the latest heartbeat of u and the latest report of its agent are.
func (s *step) reportAges(u upstream) string {
	age := func(name string, at dragonflyinstant.Instant) string {
		if at == 0 {
			return "no " + name
		}
		return fmt.Sprintf("%s %.1f s ago", name, s.now.Sub(at).Seconds())
	}
	heartbeat := age("heartbeat", u.heartbeatAt)
	if d := u.heartbeatDelay.Delay(s.heartbeats); d > 0 {
		heartbeat += fmt.Sprintf(", %.1f s late", d.Seconds())
	}
	return heartbeat + ", " + age("agent report", max(u.agentReportAt, u.silentReportAt))
}

// noteOrderChange records that the order to the engine at address may have changed.
func (s *step) noteOrderChange(address string) { s.orderChanges = append(s.orderChanges, address) }

// noteMemberOrders records that the orders to the members of g may have changed.
func (s *step) noteMemberOrders(g group) {
	for _, id := range g.members {
		if u, ok := s.upstreams.Get(id); ok {
			s.noteOrderChange(u.obs.Address)
		}
	}
}

// observeLeft applies the last report of an upstream, which finishes its requests
// and exits.
func (s *step) observeLeft(o dragonflyobservation.Observation) {
	u, ok := s.upstreams.Get(o.ID)
	boot := o.Boot
	if _, named := s.document.Services().Get(u.obs.Service); named {
		// The boot of any other service may come from another writer. A later start of the
		// upstream, which is lower, would be taken for one that has left.
		boot = max(boot, u.obs.Boot)
	}
	if s.leftBoots.Len() >= maxTombstones {
		s.leftBoots = withoutLeast(s.leftBoots, func(l leftBoot) uint64 { return l.number })
	}
	s.leftCount++
	s.leftBoots = s.leftBoots.With(o.ID, leftBoot{boot: boot, number: s.leftCount})
	if !ok {
		return
	}
	s.emit("upstream-left", o.ID, "", "it has signed off")
	u.obs.State, u.stateSince = dragonflyobservation.Left, s.now
	s.upstreams = s.upstreams.With(o.ID, u)
}

// observeAgentReport applies a report of the agent on the machine of an upstream.
func (s *step) observeAgentReport(o dragonflyobservation.Observation) {
	if !s.acceptReport(o) {
		return
	}
	s.noteRefusedHead(o)
	id, ok := s.addresses.Get(o.Address)
	if !ok {
		s.noteUnfound(o)
		return
	}
	u, _ := s.upstreams.Get(id)
	before := u
	if o.State == dragonflyobservation.Unreachable && !o.Refused && u.silent {
		// A paused upstream takes connections until its queue of them is full. An agent that
		// has started since does not know that it was silent before.
		o.State = dragonflyobservation.Silent
	}
	if o.State == dragonflyobservation.Unreachable {
		if !u.unreachable || o.Refused && !u.refused {
			s.emit("upstream-unreachable", id, "", fmt.Sprintf("the agent beside it gets no answer, connections are refused: %t", o.Refused))
		}
		if !u.unreachable {
			u.unreachableAt, s.lossAt = s.now, s.now
		}
		u.unreachable, u.refused, u.silent, u.stillAt = true, o.Refused, false, s.now
		s.upstreams = s.upstreams.With(id, u)
		return
	}
	if o.State == dragonflyobservation.Silent {
		if !u.silent {
			s.emit("upstream-silent", id, "", "it takes connections of the agent beside it and does not answer")
			u.silentAt, s.lossAt = s.now, s.now
		}
		u.silent, u.silentReportAt = true, s.now
		u.unreachable, u.refused = false, false // It takes connections again.
		s.upstreams = s.upstreams.With(id, u)
		return
	}
	if o.Boot != 0 && o.Boot != u.obs.Boot {
		if o.Boot > u.obs.Boot {
			s.remove(id, "another boot answers at its address")
		}
		return
	}
	if o.Boot == u.obs.Boot && o.Orders < u.obs.Orders {
		return // The engine has accepted orders since: the report is older than the latest one.
	}
	if s.hasLeftUnknown(u, o) {
		u.heldUntil, u.heldGroup = s.now.Add(s.brokenAfter()), ""
		if u.agentReportAt != 0 {
			u.heldGroup = u.obs.Group.Name
		}
	}
	u = s.withReportingSince(u)
	u.unreachable, u.refused, u.silent, u.agentReportAt = false, false, false, s.now
	u.obs.Group, u.obs.Staged, u.obs.Model, u.obs.Busy = o.Group, o.Staged, o.Model, o.Busy
	u.obs.Running, u.obs.Queued, u.obs.Pace, u.obs.Orders = o.Running, o.Queued, o.Pace, o.Orders
	u.obs.RefusedEpoch = o.RefusedEpoch
	if o.Domain != "" {
		u.obs.Domain = o.Domain
	}
	u.warmModel = warmedModel(u)
	s.observeEpochs(before, u)
	s.store(before, u)
}

// warmedModel returns the model of the latest group in which the engine of u has been
// ready since its start, or "".
func warmedModel(u upstream) string {
	if u.obs.Group.State >= dragonflyenginegroup.Ready && u.obs.Model != "" {
		return u.obs.Model
	}
	return u.warmModel
}
