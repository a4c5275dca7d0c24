package dragonflydirectory

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflydirectoryaction"
)

// notice is the notice period of a planned take-out of a zone.
type notice struct {
	length dragonflyduration.Duration
	since  dragonflyinstant.Instant
}

// withNotices updates the planned take-outs from the configuration. Followers
// track the time as well, so that a change of the leader does not restart the
// notice period.
func (d Directory) withNotices(now dragonflyinstant.Instant) Directory {
	for name := range d.notices.All() {
		if z, ok := d.config.Zones().Get(name); !ok || !z.Planned() {
			d.notices = d.notices.Without(name)
		}
	}
	for name, z := range d.config.Zones().All() {
		if n, ok := d.notices.Get(name); z.Planned() && (!ok || n.length != z.Notice()) {
			d.notices = d.notices.With(name, notice{z.Notice(), now})
		}
	}
	return d
}

// takeOutPlanned reports whether a take-out of the zone is planned.
func (d Directory) takeOutPlanned(zone string) bool {
	_, ok := d.notices.Get(zone)
	return ok
}

// endNotices requests the take-out of the zones whose notice period has ended.
func (d Directory) endNotices(now dragonflyinstant.Instant) (Directory, []dragonflydirectoryaction.Action) {
	var acts []dragonflydirectoryaction.Action
	for zone, n := range d.notices.All() {
		if until, _ := d.planning.takingOut.Get(zone); now.Sub(n.since) < n.length || now.Before(until) {
			continue
		}
		d.planning.takingOut = d.planning.takingOut.With(zone, now.Add(PendingTimeout))
		acts = append(acts, dragonflydirectoryaction.Action{
			Kind: dragonflydirectoryaction.EndZoneNotice, Zone: zone, Base: d.config.Version(), Reason: "notice-over",
		})
	}
	return d, acts
}
