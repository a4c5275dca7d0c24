package dragonflycontrolserver

import (
	"context"

	"dragonflyrelay.example/library/common/dragonflylatest"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/common/dragonflyring"
	"dragonflyrelay.example/library/values/dragonflygrouporder"
	"dragonflyrelay.example/library/values/dragonflyreport"
	"dragonflyrelay.example/library/values/dragonflyroute"
	"dragonflyrelay.example/library/values/dragonflytable"
	"dragonflyrelay.example/library/values/dragonflywatch"
)

// directoryRing takes a second's reports of all agents of the target size.
const directoryRing = 4096

// directoryDuty owns the view of the instances.
type directoryDuty struct {
	in    *dragonflyring.Ring[dragonflyreport.Report]
	owner *instance
	known dragonflylatest.Latest[dragonflymap.Map[string, dragonflyreport.Report]]
}

func newDirectoryDuty(in *instance) *directoryDuty {
	return &directoryDuty{in: dragonflyring.New[dragonflyreport.Report]("directory", directoryRing), owner: in}
}

// Run handles reports until ctx ends.
func (d *directoryDuty) Run(ctx context.Context) error {
	var known dragonflymap.Map[string, dragonflyreport.Report]
	for {
		r, err := d.in.Take(ctx)
		if err != nil {
			return err
		}
		known = known.With(r.Announcement.Instance, r)
		d.known.Store(known)
	}
}

func (d *directoryDuty) report(_ context.Context, r dragonflyreport.Report) { _ = d.in.TryPut(r) }

func (d *directoryDuty) lead(bool, uint64) {}

func (d *directoryDuty) replicated(context.Context, view) {}

func (d *directoryDuty) order(dragonflyreport.Report) (o dragonflygrouporder.Order) { return o }

func (d *directoryDuty) table(w dragonflywatch.Watch) dragonflytable.Table {
	return dragonflytable.Table{Term: w.Term, Revision: w.Revision}
}

func (d *directoryDuty) routes() []dragonflyroute.Route { return nil }

func (d *directoryDuty) reports() (reports []dragonflyreport.Report) {
	for _, r := range d.known.Load().All() {
		reports = append(reports, r)
	}
	return reports
}
