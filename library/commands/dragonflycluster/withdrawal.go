package dragonflycluster

import (
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyresult"
	"dragonflyrelay.example/library/values/dragonflywithdrawal"
)

// Withdrawals returns a copy of the latest withdrawals of members, oldest first.
func (c Cluster) Withdrawals() []dragonflywithdrawal.Withdrawal { return c.withdrawals.Items() }

// withdrawMembers records a withdrawal. The oldest one makes room for it.
func (c Cluster) withdrawMembers(ch dragonflychange.Change) (Cluster, dragonflyresult.Result) {
	if c.withdrawals.Len() >= MaxWithdrawals {
		c.withdrawals = c.withdrawals.Slice(1, c.withdrawals.Len())
	}
	c.withdrawals = c.withdrawals.With(ch.Withdrawal)
	return c, c.accepted()
}

// checkWithdrawal validates the withdrawal of a change.
func checkWithdrawal(f dragonflywithdrawal.Withdrawal) (fault string) {
	if fault = checkRange("length of the group's name", len(f.Group), 1, maxKeyBytes); fault != "" {
		return fault
	}
	return checkRange("number of engines", len(f.Engines), 1, maxWithdrawnEngines)
}
