package dragonflyfleet

import (
	"fmt"

	"dragonflyrelay.example/library/commands/dragonflyepochcounter"
)

// observeEpochs applies the epochs in the report of the agent beside u, whose state was before.
// Only that agent asks the engine itself: a heartbeat may come from another writer, and an
// epoch that it names must not raise those of later groups.
func (s *step) observeEpochs(before, u upstream) {
	svc, _ := s.document.Services().Get(u.obs.Service)
	if !svc.Grouped() {
		return
	}
	held := u.obs.Group.Epoch
	s.epochs = s.epochs.WithHeld(held)
	if isNew := before.agentReportAt == 0 || before.obs.Group.Epoch != held; isNew && !dragonflyepochcounter.CanFollow(held) {
		s.emit("epoch-not-followed", u.obs.ID, u.obs.Group.Name, fmt.Sprintf("no group can have a higher epoch than %d: the engine is not used before it starts again", held))
	}
	if !hasRefused(u, u.joinEpoch) {
		return
	}
	if raised := s.epochs.WithRefused(u.joinEpoch); raised != s.epochs {
		s.epochs = raised
		s.emit("join-refused", u.obs.ID, "", fmt.Sprintf("it has seen a higher epoch than %d, later groups have epochs after %d", u.joinEpoch, raised.Last()))
	}
}

// hasRefused reports whether the engine of u has refused to join its group of the epoch, and may
// join a later one.
func hasRefused(u upstream, epoch uint64) bool {
	return epoch != 0 && u.obs.RefusedEpoch == epoch && dragonflyepochcounter.CanOvertake(epoch)
}

// refusingMember returns the id of the first member of g that has refused to join it, or "".
func (s *step) refusingMember(g group) (id string) {
	for _, id := range g.members {
		if u, _ := s.upstreams.Get(id); hasRefused(u, g.epoch) {
			return id
		}
	}
	return ""
}
