package dragonflyfleet

import (
	"fmt"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyenginegroup"
	"dragonflyrelay.example/library/values/dragonflyobservation"
)

func seconds(d dragonflyduration.Duration) string { return fmt.Sprintf("%g s", d.Seconds()) }

func (s *step) observe(o dragonflyobservation.Observation) {
	if !s.leads {
		return
	}
	s.lastEpoch = max(s.lastEpoch, o.Group.Epoch)
	if o.Running+o.Queued > 0 {
		s.hasTraffic = true
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

// observeHeartbeat takes an upstream's heartbeat. One that is older than what is known, by
// the boot or by the sequence, is dropped: a partition may have held it back.
func (s *step) observeHeartbeat(o dragonflyobservation.Observation) {
	if boot, ok := s.leftBoots.Get(o.ID); ok && o.Boot <= boot {
		return
	}
	if other, ok := s.addresses.Get(o.Address); ok && other != o.ID {
		r, _ := s.upstreams.Get(other)
		if r.obs.Boot > o.Boot {
			return
		}
		s.remove(other, "another upstream has its address")
	}
	r, known := s.upstreams.Get(o.ID)
	if known && (o.Boot < r.obs.Boot || o.Boot == r.obs.Boot && o.Sequence <= r.obs.Sequence) {
		return
	}
	if known && o.Boot > r.obs.Boot {
		s.remove(o.ID, "it has started again")
		r, known = upstream{}, false
	}
	if !known {
		s.lastFoundAt = s.now
		s.emit("upstream-found", o.ID, "", fmt.Sprintf("service %s at %s, domain %q", o.Service, o.Address, o.Domain))
	} else if o.State != r.obs.State {
		s.emit("upstream-state", o.ID, "", fmt.Sprintf("state %d to %d", r.obs.State, o.State))
	}
	if known && s.now.Sub(r.agentReportAt) < AgentSilentAfter && r.agentReportAt != 0 {
		// The agent polls its engine several times between two heartbeats.
		o.Group, o.Staged, o.Model, o.Busy = r.obs.Group, r.obs.Staged, r.obs.Model, r.obs.Busy
		o.Running, o.Queued, o.Pace = r.obs.Running, r.obs.Queued, r.obs.Pace
	}
	r.obs, r.heartbeatAt = o, s.now
	r.warmModel = warmedModel(r)
	s.upstreams = s.upstreams.With(o.ID, r)
	s.addresses = s.addresses.With(o.Address, o.ID)
}

// observeLeft takes the farewell of an upstream. It finishes its requests and ends.
func (s *step) observeLeft(o dragonflyobservation.Observation) {
	r, ok := s.upstreams.Get(o.ID)
	boot := max(o.Boot, r.obs.Boot)
	if s.leftBoots.Len() >= maxTombstones {
		for id := range s.leftBoots.All() {
			s.leftBoots = s.leftBoots.Without(id)
			break
		}
	}
	s.leftBoots = s.leftBoots.With(o.ID, boot)
	if !ok {
		return
	}
	s.emit("upstream-left", o.ID, "", "it has signed off")
	r.obs.State = dragonflyobservation.Left
	s.upstreams = s.upstreams.With(o.ID, r)
}

// observeAgentReport takes the report of the agent on the machine of an upstream.
func (s *step) observeAgentReport(o dragonflyobservation.Observation) {
	id, ok := s.addresses.Get(o.Address)
	if !ok {
		return
	}
	r, _ := s.upstreams.Get(id)
	if o.State == dragonflyobservation.Unreachable {
		if !r.unreachable {
			s.emit("upstream-unreachable", id, "", "the agent beside it gets no answer")
		}
		r.unreachable, r.silent = true, false
		s.upstreams = s.upstreams.With(id, r)
		return
	}
	if o.State == dragonflyobservation.Silent {
		if !r.silent {
			s.emit("upstream-silent", id, "", "it takes connections of the agent beside it and does not answer")
		}
		r.silent, r.silentReportAt = true, s.now
		s.upstreams = s.upstreams.With(id, r)
		return
	}
	if o.Boot != 0 && o.Boot != r.obs.Boot {
		if o.Boot > r.obs.Boot {
			s.remove(id, "another boot answers at its address")
		}
		return
	}
	if r.obs.Group != o.Group || r.unreachable || r.silent {
		s.changes++
	}
	r.unreachable, r.silent, r.agentReportAt = false, false, s.now
	r.obs.Group, r.obs.Staged, r.obs.Model, r.obs.Busy = o.Group, o.Staged, o.Model, o.Busy
	r.obs.Running, r.obs.Queued, r.obs.Pace, r.obs.Orders = o.Running, o.Queued, o.Pace, o.Orders
	if o.Domain != "" {
		r.obs.Domain = o.Domain
	}
	r.warmModel = warmedModel(r)
	s.upstreams = s.upstreams.With(id, r)
}

// warmedModel returns the model of the latest group that the engine of r has been ready
// in since it started.
func warmedModel(r upstream) string {
	if r.obs.Group.State >= dragonflyenginegroup.Ready && r.obs.Model != "" {
		return r.obs.Model
	}
	return r.warmModel
}
