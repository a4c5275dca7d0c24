package dragonflycontrolserver

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"dragonflyrelay.example/library/common/dragonflyring"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyresult"
	"dragonflyrelay.example/library/values/dragonflywithdrawal"
)

// withdrawalRingCapacity holds the withdrawals of a few domains that are lost at the same time. One
// that finds no room is put again later.
const withdrawalRingCapacity = 64

// withdrawalDuty records the withdrawals of the leader's fleet in the replicated log.
type withdrawalDuty struct {
	in    *dragonflyring.Ring[dueWithdrawal]
	owner *instance
}

// dueWithdrawal is a withdrawal that is to be recorded by the leader of the term.
type dueWithdrawal struct {
	withdrawal dragonflywithdrawal.Withdrawal
	term       uint64
}

func newWithdrawalDuty(in *instance) *withdrawalDuty {
	return &withdrawalDuty{in: dragonflyring.New[dueWithdrawal]("withdrawals", withdrawalRingCapacity), owner: in}
}

// Run records withdrawals until ctx ends.
func (d *withdrawalDuty) Run(ctx context.Context) error {
	for {
		due, err := d.in.Take(ctx)
		if err != nil {
			return err
		}
		d.record(ctx, due)
	}
}

// record proposes the withdrawal. A repeat in the same term has the same id and no effect.
func (d *withdrawalDuty) record(ctx context.Context, due dueWithdrawal) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	a := d.owner.proposeLocal(ctx, dragonflychange.Change{
		ID: fmt.Sprintf("withdrawal-%d-%d", due.withdrawal.Epoch, due.term), Kind: dragonflychange.WithdrawMembers,
		Operator: "control", At: time.Now().UnixNano(), Withdrawal: due.withdrawal,
	})
	if a.leader != "" || a.result.Outcome != dragonflyresult.Accepted {
		slog.Warn("withdrawal not recorded", "group", due.withdrawal.Group, "leader", a.leader, "outcome", outcomeName(a.result), "message", a.result.Message)
		return
	}
	slog.Info("withdrawal recorded", "group", due.withdrawal.Group, "engines", due.withdrawal.Engines)
}
