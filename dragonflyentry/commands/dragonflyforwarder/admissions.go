package dragonflyforwarder

import (
	"context"

	"dragonflyrelay.example/library/values/dragonflybalanceevent"
	"dragonflyrelay.example/library/values/dragonflyfollowresponse"
)

// receiveAdmissions passes on the decisions for overloaded models in control's response n.
func (d *balanceDuty) receiveAdmissions(ctx context.Context, n dragonflyfollowresponse.Response) error {
	if len(n.Admissions) == 0 && !d.latest.Load().HasAdmissions() {
		return nil
	}
	return d.put(ctx, dragonflybalanceevent.Event{Kind: dragonflybalanceevent.AdmissionsReceived, Admissions: n.Admissions})
}
