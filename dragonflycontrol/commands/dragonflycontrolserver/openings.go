package dragonflycontrolserver

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyring"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyresult"
)

const (
	// openingsRingCapacity is small, since one item holds all openings that are due.
	openingsRingCapacity = 4
	// openingsInterval is the shortest time between two records. Groups that open at the same
	// time, as after a start of the whole fleet, are recorded together.
	openingsInterval = dragonflyduration.Second
)

// openingsDuty records in the replicated log which groups of the leader's fleet have opened.
type openingsDuty struct {
	in    *dragonflyring.Ring[dueOpenings]
	owner *instance
	count uint64 // of records; with the term, it identifies a record
}

// dueOpenings are the names of groups whose openings are to be recorded by the leader of the term.
type dueOpenings struct {
	names []string
	term  uint64
}

func newOpeningsDuty(in *instance) *openingsDuty {
	return &openingsDuty{in: dragonflyring.New[dueOpenings]("openings", openingsRingCapacity), owner: in}
}

// Run records openings until ctx ends.
func (d *openingsDuty) Run(ctx context.Context) error {
	for {
		due, err := d.in.Take(ctx)
		if err != nil {
			return err
		}
		d.record(ctx, due)
	}
}

// record proposes the openings. Those that are not recorded stay due.
func (d *openingsDuty) record(ctx context.Context, due dueOpenings) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	d.count++
	a := d.owner.proposeLocal(ctx, dragonflychange.Change{
		ID: fmt.Sprintf("openings-%d-%d", due.term, d.count), Kind: dragonflychange.RecordOpenings,
		Operator: "control", At: time.Now().UnixNano(), Opened: due.names,
	})
	if a.leader != "" || a.result.Outcome != dragonflyresult.Accepted {
		slog.Warn("openings not recorded", "groups", due.names, "leader", a.leader, "outcome", outcomeName(a.result), "message", a.result.Message)
		return
	}
	slog.Info("openings recorded", "groups", due.names)
}
