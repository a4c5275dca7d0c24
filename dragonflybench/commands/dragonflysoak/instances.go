package dragonflysoak

import (
	"context"
	"os"
	"path/filepath"

	"dragonflyrelay.example/dragonflybench/commands/dragonflycutrelay"
	"github.com/pkg/errors"
)

const (
	// maxControls bounds the control instances of a run, together with those that have been
	// replaced.
	maxControls = 8
	// outside stands for the agents and entries as the origin of connections.
	outside = -1
	// agentCall is in the first bytes of the connections of agents and entries, and in none of
	// those between control instances.
	agentCall = "/dragonfly.control/Follow"
)

// addRelays puts relays before control instance n: one that agents and entries connect to,
// and one for each control instance, which connects to the others at a port of its own.
func (s *Soak) addRelays(ctx context.Context, n int) (err error) {
	defer func() { err = errors.WithMessagef(err, "relays of %s", processName("control", n)) }()
	add := func(from, to, port int) error {
		r := &dragonflycutrelay.Relay{Listen: address("control", to, port), Target: address("behind-relay", to, s.ports.peer), Pool: &s.relayPool, Exempt: agentCall}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.relays[[2]int{from, to}] = r
		for i, u := range s.upstreams {
			r.SetCutOff(processName("agent", i), u.cutOff)
		}
		return s.relayPool.Start(ctx, "relay", r.Run)
	}
	if err := add(outside, n, s.ports.peer); err != nil {
		return err
	}
	for other := range n + 1 {
		if err := add(other, n, s.ports.control[other]); err != nil {
			return err
		}
		if other == n {
			continue
		}
		if err := add(n, other, s.ports.control[n]); err != nil {
			return err
		}
	}
	return nil
}

// eachPeerRelay calls f with the relays between control instance n and the others. from says
// that n connects to another one.
func (s *Soak) eachPeerRelay(n int, f func(from bool, r *dragonflycutrelay.Relay)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ends, r := range s.relays {
		if ends[0] != outside && ends[0] != ends[1] && (ends[0] == n || ends[1] == n) {
			f(ends[0] == n, r)
		}
	}
}

// addInstance starts a control instance with an empty disk at a new address and returns its
// number, -1 if there are maxControls already.
func (s *Soak) addInstance(ctx context.Context, replacesLost bool) (n int) {
	if n = s.started; n == maxControls {
		s.log("no address is left for another control instance")
		return -1
	}
	s.started++
	s.log("add %s", processName("control", n))
	if err := s.addRelays(ctx, n); err != nil {
		s.recordViolation("the soak cannot add an instance: %v", err)
	}
	s.restart("control", n)
	s.losses.add(n, replacesLost)
	s.fleet.SetControl(s.operatorAddresses())
	return n
}

// removeInstance removes control instance n from the deployment for good.
func (s *Soak) removeInstance(n int) {
	s.log("remove %s", processName("control", n))
	s.losses.remove(n)
	s.fleet.SetControl(s.operatorAddresses())
}

// operatorAddresses returns the addresses at which the control instances of the deployment
// answer operators and upstreams.
func (s *Soak) operatorAddresses() (addrs []string) {
	for _, n := range s.losses.numbers() {
		addrs = append(addrs, address("control", n, s.ports.operator))
	}
	return addrs
}

// wipe empties the disk of control instance n, which has been killed.
func (s *Soak) wipe(n int) {
	if err := os.RemoveAll(filepath.Join(s.folder(processName("control", n)), "data")); err != nil {
		s.recordViolation("the soak cannot wipe the data folder: %v", err)
	}
}
