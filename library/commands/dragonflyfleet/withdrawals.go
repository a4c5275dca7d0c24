package dragonflyfleet

import (
	"slices"

	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflyfleetevent"
	"dragonflyrelay.example/library/values/dragonflywithdrawal"
)

// The members of a group are ordered to leave a head that may be at work only once that is
// recorded in the replicated log. A later leader then knows which of the engines that are in
// no group may have left such a head, and need not hold all of them.

// DueWithdrawals returns the withdrawals that are to be recorded in the replicated log.
func (f Fleet) DueWithdrawals() (due []dragonflywithdrawal.Withdrawal) {
	for _, w := range f.dueWithdrawals.All() {
		due = append(due, w)
	}
	return due
}

// receiveWithdrawals applies the recorded withdrawals, openings and quarantine.
func (s *step) receiveWithdrawals(ev dragonflyfleetevent.Event) {
	s.withdrawalsTerm = ev.Term
	s.withdrawn = dragonflymap.Map[string, string]{}
	for _, w := range ev.Withdrawals {
		for _, id := range w.Engines {
			s.withdrawn = s.withdrawn.With(id, w.Group)
		}
	}
	s.receiveOpenings(ev.Opened)
	s.receiveRecord(ev)
	s.changed = true
}

// recordWithdrawal reports whether the withdrawal of the members of g is recorded, and makes it due otherwise.
func (s *step) recordWithdrawal(g group) bool {
	var engines []string
	for _, id := range g.members[1:] {
		if id != "" {
			engines = append(engines, id)
		}
	}
	if !slices.ContainsFunc(engines, func(id string) bool { name, _ := s.withdrawn.Get(id); return name != g.name }) {
		s.dueWithdrawals = s.dueWithdrawals.Without(g.name)
		return true
	}
	s.dueWithdrawals = s.dueWithdrawals.With(g.name, dragonflywithdrawal.Withdrawal{Group: g.name, Epoch: g.epoch, Engines: engines})
	return false
}

// isHeld reports whether u, which is in no group, may have left that of a head at work.
func (s *step) isHeld(u upstream) bool {
	if u.heldUntil == 0 {
		return false
	}
	group, held := u.heldGroup, true
	if group == "" {
		group, held = s.withdrawn.Get(u.obs.ID)
	}
	until := u.heldUntil
	if !s.hasOpened(group) {
		until = until.Add(lateOrderTime)
	}
	return s.now < until && (held || s.withdrawalsTerm < s.term)
}
