// Package dragonflyenginecore decides for one rank of a stand-in engine: which
// orders it takes, whether it may answer, and through its batch, what it answers.
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
	highest      uint64
	model        string
	rank         int
	ranks        []string
	loadedAt     dragonflyinstant.Instant
	pongs        dragonflymap.Map[int, dragonflyinstant.Instant]

	silentlyCold bool
	refusing     bool
	frozenUntil  dragonflyinstant.Instant
}

// New returns an engine that holds no group, or a group of one if cfg says so.
func New(cfg dragonflyenginesettings.Settings) Core {
	cfg = cfg.WithDefaults()
	c := Core{cfg: cfg, batch: dragonflybatch.New(cfg.Batch)}
	if cfg.Standalone {
		c.group, c.fence, c.highest, c.model, c.ranks = 1, 1, 1, cfg.Model, []string{""}
	}
	return c
}

// Batch returns the batch.
func (c Core) Batch() dragonflybatch.Batch { return c.batch }

// Record returns what the engine did.
func (c Core) Record() dragonflyenginerecord.Record { return c.record }

// Group and Fence return what the engine holds, 0 if nothing.
func (c Core) Group() uint64 { return c.group }

// Fence returns the fencing number of the group.
func (c Core) Fence() uint64 { return c.fence }

// Rank returns the rank in the group; 0 is the head.
func (c Core) Rank() int { return c.rank }

// Ranks returns the addresses of the ranks; callers must not write it.
func (c Core) Ranks() []string { return c.ranks }

// Model returns the loaded model, empty if none is.
func (c Core) Model() string { return c.model }

// FrozenUntil returns until when the engine does nothing.
func (c Core) FrozenUntil() dragonflyinstant.Instant { return c.frozenUntil }

// RefusesOrders reports whether a fault makes the engine refuse orders.
func (c Core) RefusesOrders() bool { return c.refusing }

// Loaded reports whether the engine holds a group and has loaded its model.
func (c Core) Loaded(now dragonflyinstant.Instant) bool {
	return c.group != 0 && !now.Before(c.loadedAt)
}

// Whole reports whether the engine has loaded and, on the head, whether all ranks
// of the group have lately said that they hold the same group and fence.
func (c Core) Whole(now dragonflyinstant.Instant) bool {
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

// Announcement returns what the engine says of itself; the shell adds the address.
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
	case !c.Whole(now):
		a.State = dragonflyannouncement.Warming
	case c.batch.Cold() && !c.silentlyCold:
		a.State = dragonflyannouncement.Cold
	}
	return a
}

// Step decides on ev, which happened at now.
func (c Core) Step(now dragonflyinstant.Instant, ev dragonflyengineevent.Event) (Core, []dragonflyengineaction.Action) {
	var acts []dragonflyengineaction.Action
	if ev.Kind == dragonflyengineevent.Tick && now.Before(c.frozenUntil) {
		return c, c.wake(now, nil)
	}
	if c.batch.InFlight() > 0 && !c.Whole(now) {
		c, acts = c.stepBatch(now, dragonflyengineevent.Event{Kind: dragonflyengineevent.Abort, Reason: dragonflyengineaction.ReasonIncompleteGroup})
	}
	c, more := c.decide(now, ev)
	return c, c.wake(now, append(acts, more...))
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
	case !c.Whole(now):
		return c, refuse(ev.ID, dragonflyengineaction.ReasonIncompleteGroup)
	}
	if !c.batch.Has(ev.ID) {
		c.record = c.record.WithAccepted(now, ev.ID, c.group, c.fence, len(ev.Delivered))
	}
	return c.stepBatch(now, ev)
}

// stepBatch steps the batch and records what it did.
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
	c, acts := c.cleared(now)
	c.group, c.fence, c.model, c.rank, c.ranks = ev.Group, ev.Fence, ev.Model, ev.Rank, ev.Ranks
	c.highest = max(c.highest, ev.Fence)
	c.loadedAt = now.Add(c.cfg.LoadTime)
	return c, append(acts, accept)
}

func (c Core) unload(now dragonflyinstant.Instant, ev dragonflyengineevent.Event) (Core, []dragonflyengineaction.Action) {
	if reason := c.refusal(ev); reason != "" {
		return c, refuse(ev.ID, reason)
	}
	c, acts := c.cleared(now)
	c.highest = max(c.highest, ev.Fence)
	return c, append(acts, dragonflyengineaction.Action{Kind: dragonflyengineaction.Accept, ID: ev.ID})
}

// refusal returns why an order is refused, empty if it is not.
func (c Core) refusal(ev dragonflyengineevent.Event) string {
	repeat := ev.Fence == c.highest && (ev.Group == c.group || ev.Kind == dragonflyengineevent.Unload)
	switch {
	case c.refusing:
		return dragonflyengineaction.ReasonRefusing
	case c.cfg.ChecksFencing && ev.Fence <= c.highest && !repeat:
		return dragonflyengineaction.ReasonOldFence
	}
	return ""
}

// cleared returns the engine without group and model; requests in it break.
func (c Core) cleared(now dragonflyinstant.Instant) (Core, []dragonflyengineaction.Action) {
	c, acts := c.stepBatch(now, dragonflyengineevent.Event{Kind: dragonflyengineevent.Abort, Reason: dragonflyengineaction.ReasonUnloaded})
	c.batch = c.batch.Cooled()
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
		c.refusing = ev.RefuseOrders
	}
	return c
}

// wake asks for the next Tick: at the end of the iteration, but not before the
// end of a freeze, and in time to notice that a rank fell silent.
func (c Core) wake(now dragonflyinstant.Instant, acts []dragonflyengineaction.Action) []dragonflyengineaction.Action {
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
