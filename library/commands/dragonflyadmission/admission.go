// Package dragonflyadmission decides which requests an agent sends to its
// upstream, in which order, and which ones it refuses. A refused request has
// never been sent.
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
	"dragonflyrelay.example/library/values/dragonflyframe"
	"dragonflyrelay.example/library/values/dragonflyload"
	"dragonflyrelay.example/library/values/dragonflyqueueditem"
	"dragonflyrelay.example/library/values/dragonflywork"
)

const (
	// MaxConfirmationAge is the age up to which a confirmation of the configuration
	// permits new work. It is 3 s because a zone that is taken out must stop
	// receiving work within that time.
	MaxConfirmationAge = 3 * dragonflyduration.Second
	// minRetryAfter and maxRetryAfter bound the retry hint of a refusal.
	minRetryAfter = 50 * dragonflyduration.Millisecond
	maxRetryAfter = 5 * dragonflyduration.Second
	// stallMargin is the time beyond the threshold for a cold upstream after which
	// a running request without progress counts as a slow sample. It exceeds the
	// interval at which workers report progress.
	stallMargin = 150 * dragonflyduration.Millisecond
	// serviceTimeDivisor is the inverse of the weight of the newest sample in the
	// smoothed service time.
	serviceTimeDivisor = 8
)

// running is a request that the upstream is processing.
type running struct {
	item          dragonflyqueueditem.Item
	started       dragonflyinstant.Instant
	lastProgress  dragonflyinstant.Instant
	hasFirstToken bool
}

// Admission is the state of one agent's queue. The zero value refuses all work
// until it receives conditions.
type Admission struct {
	// Wait estimates the queueing time of a request with ahead requests in front
	// of it, if limit requests run at a time and each takes serviceTime on average.
	// If nil, the work ahead is divided by the limit.
	Wait func(ahead, limit int, serviceTime dragonflyduration.Duration) dragonflyduration.Duration

	conditions  dragonflyconditions.Conditions
	limit       dragonflylimit.Limit
	queue       dragonflyfairqueue.Queue
	running     dragonflymap.Map[uint64, running]
	serviceTime dragonflyduration.Duration
}

// WithLimit returns the admission with the given limit, including its function
// fields and ceiling.
func (a Admission) WithLimit(l dragonflylimit.Limit) Admission {
	a.limit = l
	return a
}

// WithQueue returns the admission with the given queue and its capacity. The
// queue's Rank is replaced by the priorities of the configuration.
func (a Admission) WithQueue(q dragonflyfairqueue.Queue) Admission {
	a.queue = q
	return a
}

// Load returns the running and queued requests and the concurrency limit.
func (a Admission) Load() dragonflyload.Load {
	return dragonflyload.Load{InFlight: a.running.Len(), Limit: a.limit.Value(), Queued: a.queue.Len()}
}

// Closed reports whether new work is excluded permanently, so that the load can
// only fall.
func (a Admission) Closed() bool { return a.conditions.Leaving }

// Limit returns the concurrency limit.
func (a Admission) Limit() dragonflylimit.Limit { return a.limit }

// Step handles one event and returns the next state and the resulting actions.
func (a Admission) Step(now dragonflyinstant.Instant, ev dragonflyadmissionevent.Event) (Admission, []dragonflyadmissionaction.Action) {
	var acts []dragonflyadmissionaction.Action
	switch ev.Kind {
	case dragonflyadmissionevent.ConditionsChanged:
		a, acts = a.updateConditions(now, ev.Conditions)
	case dragonflyadmissionevent.Offered:
		a, acts = a.offer(now, ev)
	case dragonflyadmissionevent.Cancelled:
		a.queue, _ = a.queue.Filter(func(it dragonflyqueueditem.Item) bool { return it.ID == ev.ID })
		a.running = a.running.Without(ev.ID)
	case dragonflyadmissionevent.FirstToken, dragonflyadmissionevent.Progressed:
		a = a.recordLatency(now, ev)
	case dragonflyadmissionevent.Finished:
		a = a.finish(now, ev.ID)
	}
	a, more := a.adjustLimit(now)
	acts = append(acts, more...)
	a, more = a.dispatch(now)
	return a, append(acts, more...)
}

func (a Admission) updateConditions(now dragonflyinstant.Instant, c dragonflyconditions.Conditions) (Admission, []dragonflyadmissionaction.Action) {
	if c.Alive && (!a.conditions.Alive || c.Gate.Fence != a.conditions.Gate.Fence) {
		// A recovered upstream or a new group has cold caches, whatever state it
		// announces.
		a.limit = a.limit.Restarted()
	}
	a.conditions = c
	classes := c.Config.Classes()
	a.queue.Rank = func(class string) int {
		cl, _ := classes.Get(class)
		return cl.Priority()
	}
	var acts []dragonflyadmissionaction.Action
	if c.Alive {
		cold := c.Announcement.State == dragonflyannouncement.Cold || c.Announcement.State == dragonflyannouncement.Warming
		var reason string
		a.limit, reason = a.limit.WithAnnounced(cold, c.Announcement.ColdLimit)
		acts = a.limitActions(reason)
	}
	next, more := a.refuseWaiting(now)
	return next, append(acts, more...)
}

// refuseWaiting refuses the queued requests that may no longer be sent.
func (a Admission) refuseWaiting(now dragonflyinstant.Instant) (Admission, []dragonflyadmissionaction.Action) {
	var acts []dragonflyadmissionaction.Action
	a.queue, _ = a.queue.Filter(func(it dragonflyqueueditem.Item) bool {
		reason := a.refusalReason(now, it)
		if reason != "" {
			acts = append(acts, a.refusal(it.ID, reason))
		}
		return reason != ""
	})
	return a, acts
}

// refusalReason returns the reason why item it may not be sent to the upstream at
// now, "" if it may.
func (a Admission) refusalReason(now dragonflyinstant.Instant, it dragonflyqueueditem.Item) string {
	c := a.conditions
	up := c.Announcement
	switch {
	case c.Leaving || up.State == dragonflyannouncement.Leaving:
		return dragonflyframe.ReasonLeaving
	case zoneOut(c):
		return dragonflyframe.ReasonZoneOut
	case !c.Alive:
		return dragonflyframe.ReasonNotReady
	case up.Kind == dragonflyannouncement.Engine && (it.Group != c.Gate.Group || it.Fence != c.Gate.Fence || it.Group == 0):
		return dragonflyframe.ReasonWrongGroup
	case up.Kind == dragonflyannouncement.Engine && c.Gate.ValidUntil == 0:
		return dragonflyframe.ReasonNotReady
	case up.Kind == dragonflyannouncement.Engine && !now.Before(c.Gate.ValidUntil):
		return dragonflyframe.ReasonNoLease
	case !c.ServeWithoutControl && !confirmedRecently(now, c.ConfirmedAt) && !confirmedRecently(now, it.ConfirmedAt):
		return dragonflyframe.ReasonStaleConfig
	case it.Deadline != 0 && !now.Before(it.Deadline):
		return dragonflyframe.ReasonDeadline
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

func confirmedRecently(now, confirmed dragonflyinstant.Instant) bool {
	return confirmed != 0 && now.Sub(confirmed) < MaxConfirmationAge
}

func (a Admission) offer(now dragonflyinstant.Instant, ev dragonflyadmissionevent.Event) (Admission, []dragonflyadmissionaction.Action) {
	w := ev.Work
	it := newItem(now, ev.ID, w)
	refuse := func(reason string) (Admission, []dragonflyadmissionaction.Action) {
		return a, []dragonflyadmissionaction.Action{a.refusal(it.ID, reason)}
	}
	if reason := a.refusalReason(now, it); reason != "" {
		return refuse(reason)
	}
	if !a.serves(w) {
		return refuse(dragonflyframe.ReasonWrongGroup)
	}
	if a.limit.Value() == 0 && a.running.Len() == 0 {
		return refuse(dragonflyframe.ReasonNotReady)
	}
	if it.Deadline != 0 && now.Add(a.estimateWait(it.Class)).After(it.Deadline) {
		return refuse(dragonflyframe.ReasonDeadline)
	}
	next, dropped, full := a.queue.Push(it)
	a.queue = next
	if full {
		return refuseDropped(a, dropped)
	}
	return a, nil
}

func refuseDropped(a Admission, it dragonflyqueueditem.Item) (Admission, []dragonflyadmissionaction.Action) {
	return a, []dragonflyadmissionaction.Action{a.refusal(it.ID, dragonflyframe.ReasonOverloaded)}
}

func newItem(now dragonflyinstant.Instant, id uint64, w dragonflywork.Work) dragonflyqueueditem.Item {
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

// serves reports whether w matches the kind and the service of the upstream.
func (a Admission) serves(w dragonflywork.Work) bool {
	up := a.conditions.Announcement
	if up.Kind == dragonflyannouncement.Service {
		return w.Kind == dragonflywork.Call && w.Service == up.Service
	}
	return w.Kind == dragonflywork.Completion
}

// estimateWait estimates the time to the first token of a new request of class.
func (a Admission) estimateWait(class string) dragonflyduration.Duration {
	ahead := a.queue.Ahead(class)
	free := a.limit.Value() - a.running.Len()
	if ahead < free {
		return a.limit.NormalFirst()
	}
	if a.Wait != nil {
		return a.Wait(ahead, a.limit.Value(), a.serviceTime) + a.limit.NormalFirst()
	}
	concurrency := dragonflyduration.Duration(max(a.limit.Value(), 1))
	return dragonflyduration.Duration(ahead+1)*a.serviceTime/concurrency + a.limit.NormalFirst()
}

func (a Admission) refusal(id uint64, reason string) dragonflyadmissionaction.Action {
	act := dragonflyadmissionaction.Action{Kind: dragonflyadmissionaction.Refuse, ID: id, Reason: reason}
	if reason == dragonflyframe.ReasonOverloaded || reason == dragonflyframe.ReasonNotReady {
		concurrency := dragonflyduration.Duration(max(a.limit.Value(), 1))
		backlog := dragonflyduration.Duration(a.queue.Len()) * a.serviceTime / concurrency
		act.RetryAfter = min(max(backlog, minRetryAfter), maxRetryAfter)
	}
	return act
}
