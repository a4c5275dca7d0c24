// Package dragonflyadmission decides which requests an agent sends to its
// upstream, in which order, and which ones it refuses. A request that it refuses
// has never been sent.
package dragonflyadmission

import (
	"dragonflyrelay.example/library/commands/dragonflyfairqueue"
	"dragonflyrelay.example/library/commands/dragonflylimit"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflyadmissionaction"
	"dragonflyrelay.example/library/values/dragonflyadmissionevent"
	"dragonflyrelay.example/library/values/dragonflyannouncement"
	"dragonflyrelay.example/library/values/dragonflyconditions"
	"dragonflyrelay.example/library/values/dragonflyload"
	"dragonflyrelay.example/library/values/dragonflypiece"
	"dragonflyrelay.example/library/values/dragonflyqueueditem"
	"dragonflyrelay.example/library/values/dragonflywork"
)

// Spans of time.
const (
	// FreshFor is how long a confirmation of the configuration permits new work.
	// A zone that is taken out must stop receiving work within 3 s.
	FreshFor = 3 * dragonflyduration.Second
	// minRetryAfter and maxRetryAfter bound the hint after a refusal.
	minRetryAfter = 50 * dragonflyduration.Millisecond
	maxRetryAfter = 5 * dragonflyduration.Second
	// stall is how much longer than the threshold for a cold upstream a running
	// request must be silent to count as a slow sample. It exceeds the period
	// in which workers report progress.
	stall = 150 * dragonflyduration.Millisecond
	// smoothing is the weight of the newest service time, as its inverse.
	smoothing = 8
)

// running is one request on the upstream.
type running struct {
	item    dragonflyqueueditem.Item
	started dragonflyinstant.Instant
	latest  dragonflyinstant.Instant
	first   bool
}

// Admission is the state of one agent's queue. The zero value refuses all work
// until conditions are known.
type Admission struct {
	// Wait estimates how long a request waits that has ahead requests before it,
	// with limit places that are each taken for service on average; nil divides
	// the work ahead by the places.
	Wait func(ahead, limit int, service dragonflyduration.Duration) dragonflyduration.Duration

	conditions dragonflyconditions.Conditions
	limit      dragonflylimit.Limit
	lanes      dragonflyfairqueue.Queue
	running    dragonflymap.Map[uint64, running]
	service    dragonflyduration.Duration
}

// WithLimit returns the admission with the given limit, whose function fields and
// ceiling then apply.
func (a Admission) WithLimit(l dragonflylimit.Limit) Admission {
	a.limit = l
	return a
}

// WithLanes returns the admission with the given queue, whose capacity then
// applies. Its Rank is replaced by the priorities of the configuration.
func (a Admission) WithLanes(l dragonflyfairqueue.Queue) Admission {
	a.lanes = l
	return a
}

// Load returns how busy the upstream is.
func (a Admission) Load() dragonflyload.Load {
	return dragonflyload.Load{InFlight: a.running.Len(), Limit: a.limit.Value(), Queued: a.lanes.Len()}
}

// Closed reports whether the conditions exclude all new work for good, so that
// the load can only fall.
func (a Admission) Closed() bool { return a.conditions.Leaving }

// Limit returns the concurrency limit.
func (a Admission) Limit() dragonflylimit.Limit { return a.limit }

// Step handles one event.
func (a Admission) Step(now dragonflyinstant.Instant, ev dragonflyadmissionevent.Event) (Admission, []dragonflyadmissionaction.Action) {
	var acts []dragonflyadmissionaction.Action
	switch ev.Kind {
	case dragonflyadmissionevent.Changed:
		a, acts = a.changed(now, ev.Conditions)
	case dragonflyadmissionevent.Offered:
		a, acts = a.offered(now, ev)
	case dragonflyadmissionevent.Cancelled:
		a.lanes, _ = a.lanes.Filter(func(it dragonflyqueueditem.Item) bool { return it.ID == ev.ID })
		a.running = a.running.Without(ev.ID)
	case dragonflyadmissionevent.FirstToken, dragonflyadmissionevent.Progressed:
		a = a.measured(now, ev)
	case dragonflyadmissionevent.Finished:
		a = a.finished(now, ev.ID)
	}
	a, more := a.decide(now)
	acts = append(acts, more...)
	a, more = a.dispatch(now)
	return a, append(acts, more...)
}

func (a Admission) changed(now dragonflyinstant.Instant, c dragonflyconditions.Conditions) (Admission, []dragonflyadmissionaction.Action) {
	if c.Alive && (!a.conditions.Alive || c.Gate.Fence != a.conditions.Gate.Fence) {
		// An upstream that comes back, or a group that is new, has cold caches
		// whatever it announces.
		a.limit = a.limit.Restarted()
	}
	a.conditions = c
	classes := c.Config.Classes()
	a.lanes.Rank = func(class string) int {
		cl, _ := classes.Get(class)
		return cl.Priority()
	}
	var acts []dragonflyadmissionaction.Action
	if c.Alive {
		cold := c.Announcement.State == dragonflyannouncement.Cold || c.Announcement.State == dragonflyannouncement.Warming
		var reason string
		a.limit, reason = a.limit.WithAnnounced(cold, c.Announcement.Bearable)
		acts = a.ramp(reason)
	}
	next, more := a.flush(now)
	return next, append(acts, more...)
}

// flush refuses the waiting requests that may not be sent any more.
func (a Admission) flush(now dragonflyinstant.Instant) (Admission, []dragonflyadmissionaction.Action) {
	var acts []dragonflyadmissionaction.Action
	a.lanes, _ = a.lanes.Filter(func(it dragonflyqueueditem.Item) bool {
		reason := a.objection(now, it)
		if reason != "" {
			acts = append(acts, a.refusal(it.ID, reason))
		}
		return reason != ""
	})
	return a, acts
}

// objection returns why it may not be sent to the upstream at now, or "".
func (a Admission) objection(now dragonflyinstant.Instant, it dragonflyqueueditem.Item) string {
	c := a.conditions
	up := c.Announcement
	switch {
	case c.Leaving || up.State == dragonflyannouncement.Leaving:
		return dragonflypiece.ReasonLeaving
	case zoneOut(c):
		return dragonflypiece.ReasonZoneOut
	case !c.Alive:
		return dragonflypiece.ReasonNotReady
	case up.Kind == dragonflyannouncement.Engine && (it.Group != c.Gate.Group || it.Fence != c.Gate.Fence || it.Group == 0):
		return dragonflypiece.ReasonWrongGroup
	case up.Kind == dragonflyannouncement.Engine && c.Gate.ValidUntil == 0:
		return dragonflypiece.ReasonNotReady
	case up.Kind == dragonflyannouncement.Engine && !now.Before(c.Gate.ValidUntil):
		return dragonflypiece.ReasonNoLease
	case !c.ServeWithoutControl && !fresh(now, c.ConfirmedAt) && !fresh(now, it.ConfirmedAt):
		return dragonflypiece.ReasonStaleConfig
	case it.Deadline != 0 && !now.Before(it.Deadline):
		return dragonflypiece.ReasonDeadline
	}
	return ""
}

// zoneOut reports whether the zone of the upstream, or of another member of its
// group, has been taken out.
func zoneOut(c dragonflyconditions.Conditions) bool {
	for _, z := range c.Zones {
		if c.Config.ZoneOut(z) {
			return true
		}
	}
	return c.Config.ZoneOut(c.Announcement.Zone)
}

func fresh(now, confirmed dragonflyinstant.Instant) bool {
	return confirmed != 0 && now.Sub(confirmed) < FreshFor
}

func (a Admission) offered(now dragonflyinstant.Instant, ev dragonflyadmissionevent.Event) (Admission, []dragonflyadmissionaction.Action) {
	w := ev.Work
	it := item(now, ev.ID, w)
	refuse := func(reason string) (Admission, []dragonflyadmissionaction.Action) {
		return a, []dragonflyadmissionaction.Action{a.refusal(it.ID, reason)}
	}
	if reason := a.objection(now, it); reason != "" {
		return refuse(reason)
	}
	if !a.serves(w) {
		return refuse(dragonflypiece.ReasonWrongGroup)
	}
	if a.limit.Value() == 0 && a.running.Len() == 0 {
		return refuse(dragonflypiece.ReasonNotReady)
	}
	if it.Deadline != 0 && now.Add(a.wait(it.Class)).After(it.Deadline) {
		return refuse(dragonflypiece.ReasonDeadline)
	}
	next, dropped, full := a.lanes.Push(it)
	a.lanes = next
	if full {
		return refuseDropped(a, dropped)
	}
	return a, nil
}

func refuseDropped(a Admission, it dragonflyqueueditem.Item) (Admission, []dragonflyadmissionaction.Action) {
	return a, []dragonflyadmissionaction.Action{a.refusal(it.ID, dragonflypiece.ReasonOverloaded)}
}

func item(now dragonflyinstant.Instant, id uint64, w dragonflywork.Work) dragonflyqueueditem.Item {
	it := dragonflyqueueditem.Item{
		ID: id, Class: w.Class, Workspace: w.Workspace, Group: w.Group, Fence: w.Fence,
		FirstToken: w.FirstToken, Gap: w.Gap,
		ConfirmedAt: max(now.Add(-w.ConfirmationAge), 0),
	}
	if w.Deadline > 0 {
		it.Deadline = now.Add(w.Deadline)
	}
	return it
}

// serves reports whether w is meant for this kind of upstream.
func (a Admission) serves(w dragonflywork.Work) bool {
	up := a.conditions.Announcement
	if up.Kind == dragonflyannouncement.Service {
		return w.Kind == dragonflywork.Call && w.Service == up.Service
	}
	return w.Kind == dragonflywork.Completion
}

// wait estimates the time until a new request of class has its answer begun.
func (a Admission) wait(class string) dragonflyduration.Duration {
	ahead := a.lanes.Ahead(class)
	free := a.limit.Value() - a.running.Len()
	if ahead < free {
		return a.limit.NormalFirst()
	}
	if a.Wait != nil {
		return a.Wait(ahead, a.limit.Value(), a.service) + a.limit.NormalFirst()
	}
	places := dragonflyduration.Duration(max(a.limit.Value(), 1))
	return dragonflyduration.Duration(ahead+1)*a.service/places + a.limit.NormalFirst()
}

func (a Admission) refusal(id uint64, reason string) dragonflyadmissionaction.Action {
	act := dragonflyadmissionaction.Action{Kind: dragonflyadmissionaction.Refuse, ID: id, Reason: reason}
	if reason == dragonflypiece.ReasonOverloaded || reason == dragonflypiece.ReasonNotReady {
		places := dragonflyduration.Duration(max(a.limit.Value(), 1))
		backlog := dragonflyduration.Duration(a.lanes.Len()) * a.service / places
		act.RetryAfter = min(max(backlog, minRetryAfter), maxRetryAfter)
	}
	return act
}
