package dragonflycontrolserver

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyring"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyquarantinerecord"
	"dragonflyrelay.example/library/values/dragonflyresult"
)

const (
	// recordsRingCapacity is small, since one item holds the whole quarantine.
	recordsRingCapacity = 2
	// recordInterval is the shortest time between two records. The crashes of a burst are
	// recorded together.
	recordInterval = dragonflyduration.Second
)

// recordsDuty records the quarantine of the leader's fleet in the replicated log.
type recordsDuty struct {
	in    *dragonflyring.Ring[dragonflyquarantinerecord.Record]
	owner *instance
	count uint64 // of proposals; with the term, it identifies one
}

func newRecordsDuty(in *instance) *recordsDuty {
	return &recordsDuty{in: dragonflyring.New[dragonflyquarantinerecord.Record]("quarantine-records", recordsRingCapacity), owner: in}
}

// Run records quarantines until ctx ends.
func (d *recordsDuty) Run(ctx context.Context) error {
	for {
		r, err := d.in.Take(ctx)
		if err != nil {
			return err
		}
		d.record(ctx, r)
	}
}

// record proposes the record. One that is not accepted stays due.
func (d *recordsDuty) record(ctx context.Context, r dragonflyquarantinerecord.Record) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	d.count++
	a := d.owner.proposeLocal(ctx, dragonflychange.Change{
		ID: fmt.Sprintf("quarantine-%d-%d", r.Term, d.count), Kind: dragonflychange.RecordQuarantine,
		Operator: "control", At: time.Now().UnixNano(), Quarantine: r,
	})
	if a.leader != "" || a.result.Outcome != dragonflyresult.Accepted {
		slog.Warn("quarantine not recorded", "keys", len(r.Parts), "crashes", len(r.Losses), "leader", a.leader, "outcome", outcomeName(a.result), "message", a.result.Message)
		return
	}
	slog.Info("quarantine recorded", "term", r.Term, "version", r.Version, "keys", len(r.Parts), "crashes", len(r.Losses))
}
