// Package dragonflyenginecore decides for one rank of a stand-in engine which
// orders it accepts, whether it may answer requests and, through its batch, which
// tokens it emits.
package dragonflyenginecore

import (
	"dragonflyrelay.example/dragonflybench/commands/dragonflybatch"
	"dragonflyrelay.example/dragonflybench/values/dragonflyengineaction"
	"dragonflyrelay.example/dragonflybench/values/dragonflyengineevent"
	"dragonflyrelay.example/dragonflybench/values/dragonflyenginerecord"
	"dragonflyrelay.example/dragonflybench/values/dragonflyenginesettings"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflyannouncement"
)

// Core is the state of one rank. Use New.
type Core struct {
	cfg    dragonflyenginesettings.Settings
	batch  dragonflybatch.Batch
	record dragonflyenginerecord.Record

	group, fence uint64
	highestFence uint64
	model        string
	rank         int
	ranks        []string
	loadedAt     dragonflyinstant.Instant
	pongs        dragonflymap.Map[int, dragonflyinstant.Instant]

	silentlyCold  bool // a fault made the batch cold, which announcements do not report
	refusesOrders bool
	frozenUntil   dragonflyinstant.Instant
}

// New returns an engine that holds no group, or a group of one rank if cfg makes it
// standalone.
func New(cfg dragonflyenginesettings.Settings) Core {
	cfg = cfg.WithDefaults()
	c := Core{cfg: cfg, batch: dragonflybatch.New(cfg.Batch)}
	if cfg.Standalone {
		c.group, c.fence, c.highestFence, c.model, c.ranks = 1, 1, 1, cfg.Model, []string{""}
	}
	return c
}

// Batch returns the batch.
func (c Core) Batch() dragonflybatch.Batch { return c.batch }

// Record returns the record of the runs of the engine.
func (c Core) Record() dragonflyenginerecord.Record { return c.record }

// Group returns the group that the engine holds, 0 if none.
func (c Core) Group() uint64 { return c.group }

// Fence returns the fencing number of the group.
func (c Core) Fence() uint64 { return c.fence }

// Rank returns the rank in the group; 0 is the head.
func (c Core) Rank() int { return c.rank }

// Ranks returns the addresses of the ranks. Callers must not modify it.
func (c Core) Ranks() []string { return c.ranks }

// Model returns the model of the group, empty if the engine holds none.
func (c Core) Model() string { return c.model }

// FrozenUntil returns the end of the latest freeze. Until then the core ignores
// ticks, and the engine sends no announcements or pings and delays its responses,
// except those for faults, the record and the debug routes.
func (c Core) FrozenUntil() dragonflyinstant.Instant { return c.frozenUntil }

// RefusesOrders reports whether a fault makes the engine refuse orders.
func (c Core) RefusesOrders() bool { return c.refusesOrders }

// Loaded reports whether the engine holds a group and has finished loading its
// model.
func (c Core) Loaded(now dragonflyinstant.Instant) bool {
	return c.group != 0 && !now.Before(c.loadedAt)
}

// GroupReady reports whether the engine is loaded and, on the head, whether each
// other rank has confirmed the same group and fence within the ping timeout.
func (c Core) GroupReady(now dragonflyinstant.Instant) bool {
	if !c.Loaded(now) {
		return false
	}
	if c.rank != 0 {
		return true
	}
	for r := 1; r < len(c.ranks); r++ {
		if at, ok := c.pongs.Get(r); !ok || now.Sub(at) > c.cfg.PingTimeout {
			return false
		}
	}
	return true
}

// Announcement returns the announcement of the engine, without the address, which
// the code that runs the core adds.
func (c Core) Announcement(now dragonflyinstant.Instant) dragonflyannouncement.Announcement {
	a := dragonflyannouncement.Announcement{
		Instance: c.cfg.Instance, Kind: dragonflyannouncement.Engine,
		Region: c.cfg.Region, Zone: c.cfg.Zone, Domain: c.cfg.Domain,
		Accelerators: c.cfg.Accelerators, Model: c.cfg.Model,
		State: dragonflyannouncement.Ready, ChecksFencing: c.cfg.ChecksFencing,
		ColdLimit: c.cfg.Batch.ColdLimit, Group: c.group, Fence: c.fence, Load: c.batch.Load(now),
	}
	switch {
	case c.group == 0:
		a.State = dragonflyannouncement.Cold
	case !c.GroupReady(now):
		a.State = dragonflyannouncement.Warming
	case c.batch.Cold() && !c.silentlyCold:
		a.State = dragonflyannouncement.Cold
	}
	return a
}

// Step applies ev, which occurred at now, and returns the resulting actions.
func (c Core) Step(now dragonflyinstant.Instant, ev dragonflyengineevent.Event) (Core, []dragonflyengineaction.Action) {
	var acts []dragonflyengineaction.Action
	if ev.Kind == dragonflyengineevent.Tick && now.Before(c.frozenUntil) {
		return c, c.appendWake(now, nil)
	}
	if c.batch.InFlight() > 0 && !c.GroupReady(now) {
		c, acts = c.stepBatch(now, dragonflyengineevent.Event{Kind: dragonflyengineevent.Abort, Reason: dragonflyengineaction.ReasonIncompleteGroup})
	}
	c, more := c.decide(now, ev)
	return c, c.appendWake(now, append(acts, more...))
}

func (c Core) decide(now dragonflyinstant.Instant, ev dragonflyengineevent.Event) (Core, []dragonflyengineaction.Action) {
	switch ev.Kind {
	case dragonflyengineevent.Arrive:
		return c.arrive(now, ev)
	case dragonflyengineevent.Load:
		return c.load(now, ev)
	case dragonflyengineevent.Unload:
		return c.unload(now, ev)
	case dragonflyengineevent.Pong:
		if ev.Group == c.group && ev.Fence == c.fence {
			c.pongs = c.pongs.With(ev.Rank, now)
		}
		return c, nil
	case dragonflyengineevent.Fault:
		c = c.fault(now, ev)
	case dragonflyengineevent.Cancel:
		c.record = c.record.WithEnd(ev.ID, dragonflyenginerecord.EndCancelled)
	}
	return c.stepBatch(now, ev)
}

func (c Core) arrive(now dragonflyinstant.Instant, ev dragonflyengineevent.Event) (Core, []dragonflyengineaction.Action) {
	switch {
	case !c.Loaded(now):
		return c, refuse(ev.ID, dragonflyengineaction.ReasonNotReady)
	case c.rank != 0:
		return c, refuse(ev.ID, dragonflyengineaction.ReasonNotHead)
	case !c.GroupReady(now):
		return c, refuse(ev.ID, dragonflyengineaction.ReasonIncompleteGroup)
	}
	if !c.batch.Has(ev.ID) {
		c.record = c.record.WithAccepted(now, ev.ID, c.group, c.fence, len(ev.Delivered))
	}
	return c.stepBatch(now, ev)
}

// stepBatch steps the batch and records its actions.
func (c Core) stepBatch(now dragonflyinstant.Instant, ev dragonflyengineevent.Event) (Core, []dragonflyengineaction.Action) {
	var acts []dragonflyengineaction.Action
	c.batch, acts = c.batch.Step(now, ev)
	for _, a := range acts {
		switch a.Kind {
		case dragonflyengineaction.Token:
			c.record = c.record.WithToken(now, a.ID)
		case dragonflyengineaction.Finish:
			c.record = c.record.WithEnd(a.ID, dragonflyenginerecord.EndCompleted)
		case dragonflyengineaction.Break:
			c.record = c.record.WithEnd(a.ID, a.Reason)
		case dragonflyengineaction.Refuse:
			if a.Reason != dragonflyengineaction.ReasonDuplicate {
				c.record = c.record.WithEnd(a.ID, a.Reason)
			}
		}
	}
	if !c.batch.Cold() {
		c.silentlyCold = false
	}
	return c, acts
}

func (c Core) load(now dragonflyinstant.Instant, ev dragonflyengineevent.Event) (Core, []dragonflyengineaction.Action) {
	if reason := c.refusal(ev); reason != "" {
		return c, refuse(ev.ID, reason)
	}
	accept := dragonflyengineaction.Action{Kind: dragonflyengineaction.Accept, ID: ev.ID}
	if ev.Group == c.group && ev.Fence == c.fence {
		return c, []dragonflyengineaction.Action{accept}
	}
	c, acts := c.withoutGroup(now)
	c.group, c.fence, c.model, c.rank, c.ranks = ev.Group, ev.Fence, ev.Model, ev.Rank, ev.Ranks
	c.highestFence = max(c.highestFence, ev.Fence)
	c.loadedAt = now.Add(c.cfg.LoadTime)
	return c, append(acts, accept)
}

func (c Core) unload(now dragonflyinstant.Instant, ev dragonflyengineevent.Event) (Core, []dragonflyengineaction.Action) {
	if reason := c.refusal(ev); reason != "" {
		return c, refuse(ev.ID, reason)
	}
	c, acts := c.withoutGroup(now)
	c.highestFence = max(c.highestFence, ev.Fence)
	return c, append(acts, dragonflyengineaction.Action{Kind: dragonflyengineaction.Accept, ID: ev.ID})
}

// refusal returns the reason to refuse an order, empty if it is accepted.
func (c Core) refusal(ev dragonflyengineevent.Event) string {
	isRetry := ev.Fence == c.highestFence && (ev.Group == c.group || ev.Kind == dragonflyengineevent.Unload)
	switch {
	case c.refusesOrders:
		return dragonflyengineaction.ReasonRefusing
	case c.cfg.ChecksFencing && ev.Fence <= c.highestFence && !isRetry:
		return dragonflyengineaction.ReasonOldFence
	}
	return ""
}

// withoutGroup returns c without a group and model; its requests in progress
// break off.
func (c Core) withoutGroup(now dragonflyinstant.Instant) (Core, []dragonflyengineaction.Action) {
	c, acts := c.stepBatch(now, dragonflyengineevent.Event{Kind: dragonflyengineevent.Abort, Reason: dragonflyengineaction.ReasonUnloaded})
	c.batch = c.batch.WithRestart()
	c.group, c.fence, c.model, c.rank, c.ranks = 0, 0, "", 0, nil
	c.silentlyCold = false
	c.pongs = dragonflymap.Map[int, dragonflyinstant.Instant]{}
	return c, acts
}

func (c Core) fault(now dragonflyinstant.Instant, ev dragonflyengineevent.Event) Core {
	if ev.TurnCold {
		c.silentlyCold = true
	}
	if ev.Freeze > 0 {
		c.frozenUntil = now.Add(ev.Freeze)
	}
	if ev.RefuseOrders || ev.AcceptOrders {
		c.refusesOrders = ev.RefuseOrders
	}
	return c
}

// appendWake appends the request for the next Tick: at the end of the iteration, or
// earlier on a head to detect a silent rank, but not before the end of a freeze.
func (c Core) appendWake(now dragonflyinstant.Instant, acts []dragonflyengineaction.Action) []dragonflyengineaction.Action {
	at := c.batch.Due()
	if at == 0 {
		return acts
	}
	if c.rank == 0 && len(c.ranks) > 1 {
		at = min(at, now.Add(c.cfg.PingPeriod))
	}
	at = max(at, c.frozenUntil)
	return append(acts, dragonflyengineaction.Action{Kind: dragonflyengineaction.Wake, At: at})
}

func refuse(id, reason string) []dragonflyengineaction.Action {
	return []dragonflyengineaction.Action{{Kind: dragonflyengineaction.Refuse, ID: id, Reason: reason}}
}
