// Package dragonflybatch decides which token a stand-in engine generates when:
// continuous batching with priorities, a limited prefix cache and a cold start
// that collapses under more load than is bearable.
package dragonflybatch

import (
	"dragonflyrelay.example/dragonflybench/queries/dragonflyprefix"
	"dragonflyrelay.example/dragonflybench/values/dragonflybatchsettings"
	"dragonflyrelay.example/dragonflybench/values/dragonflyengineaction"
	"dragonflyrelay.example/dragonflybench/values/dragonflyengineevent"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflyload"
)

// resumedTokensPerBlock is the number of delivered tokens that a resumed request
// has to read again per block of prefill; a token has about 7 bytes.
const resumedTokensPerBlock = 9

// defaultWarmUpTokens warms an engine up that turned cold although its settings
// have no warm-up: a second of a full batch at 25 ms a token.
const defaultWarmUpTokens = 32 * 40

// job is one request in the batch or in the queue.
type job struct {
	id      string
	blocks  []uint64
	resumed int
	next    int
	max     int
	// ready is when the prompt has been read.
	ready dragonflyinstant.Instant
}

// Batch is the state of the batch. Use New; the zero value has no capacity.
type Batch struct {
	cfg     dragonflybatchsettings.Settings
	arrived uint64
	places  dragonflymap.Map[string, uint64]
	waiting dragonflymap.Map[uint64, job]
	running dragonflymap.Map[uint64, job]
	cache   cache
	// iterationEnd is when the tokens of the iteration come, 0 between iterations.
	iterationEnd dragonflyinstant.Instant
	slowPercent  int
	cold         bool
	warmth       int
	coldPeak     int
	reports      reports
}

// New returns an empty batch, cold if cfg has a warm-up.
func New(cfg dragonflybatchsettings.Settings) Batch {
	cfg = cfg.WithDefaults()
	return Batch{cfg: cfg, slowPercent: 100, cold: cfg.WarmUpTokens > 0, cache: cache{size: cfg.CacheBlocks}}
}

// InFlight returns the number of requests in the batch and in the queue.
func (b Batch) InFlight() int { return b.running.Len() + b.waiting.Len() }

// Has reports whether a request with that id is in the batch or in the queue.
func (b Batch) Has(id string) bool {
	_, ok := b.places.Get(id)
	return ok
}

// Cold reports whether the engine bears only little load.
func (b Batch) Cold() bool { return b.cold }

// ColdPeak returns the greatest number of concurrent requests while cold.
func (b Batch) ColdPeak() int { return b.coldPeak }

// Due returns when the next Tick is needed, 0 if none is.
func (b Batch) Due() dragonflyinstant.Instant { return b.iterationEnd }

// Load returns the load as it was reported at now, which lags.
func (b Batch) Load(now dragonflyinstant.Instant) dragonflyload.Load {
	l := b.reports.at(now, b.cfg.LoadLag)
	l.Limit = b.cfg.MaxBatch
	return l
}

// Cooled returns b after a restart of the model: cold if there is a warm-up, with
// an empty prefix cache.
func (b Batch) Cooled() Batch {
	b.cold, b.warmth = b.cfg.WarmUpTokens > 0, 0
	b.cache = cache{size: b.cfg.CacheBlocks, events: b.cache.events, count: b.cache.count}
	return b
}

// Step decides on ev, which happened at now.
func (b Batch) Step(now dragonflyinstant.Instant, ev dragonflyengineevent.Event) (Batch, []dragonflyengineaction.Action) {
	var acts []dragonflyengineaction.Action
	switch ev.Kind {
	case dragonflyengineevent.Arrive:
		b, acts = b.arrive(ev)
	case dragonflyengineevent.Cancel:
		b = b.without(ev.ID)
	case dragonflyengineevent.Abort:
		b, acts = b.abort(ev.Reason)
	case dragonflyengineevent.Fault:
		b = b.fault(ev)
	case dragonflyengineevent.Import:
		b.cache = b.cache.with(now, ev.Blocks)
	}
	b, acts = b.advance(now, acts)
	if b.cold {
		b.coldPeak = max(b.coldPeak, b.InFlight())
	}
	b.reports = b.reports.with(now, dragonflyload.Load{InFlight: b.running.Len(), Queued: b.waiting.Len()}, b.cfg.LoadLag)
	return b, acts
}

func (b Batch) arrive(ev dragonflyengineevent.Event) (Batch, []dragonflyengineaction.Action) {
	if b.Has(ev.ID) {
		return b, refuse(ev.ID, dragonflyengineaction.ReasonDuplicate)
	}
	if b.waiting.Len() >= b.cfg.QueueLimit {
		return b, refuse(ev.ID, dragonflyengineaction.ReasonQueueFull)
	}
	b.arrived++
	// The key sorts by priority first and by arrival within a priority.
	key := uint64(max(ev.Priority, 0))<<48 | b.arrived
	b.places = b.places.With(ev.ID, key)
	b.waiting = b.waiting.With(key, job{
		id: ev.ID, blocks: dragonflyprefix.Blocks(ev.Prompt), resumed: len(ev.Delivered),
		next: len(ev.Delivered), max: ev.MaxTokens,
	})
	return b, []dragonflyengineaction.Action{{Kind: dragonflyengineaction.Accept, ID: ev.ID}}
}

func (b Batch) without(id string) Batch {
	key, ok := b.places.Get(id)
	if !ok {
		return b
	}
	b.places = b.places.Without(id)
	b.waiting = b.waiting.Without(key)
	b.running = b.running.Without(key)
	return b
}

func (b Batch) abort(reason string) (Batch, []dragonflyengineaction.Action) {
	var acts []dragonflyengineaction.Action
	for id := range b.places.All() {
		acts = append(acts, dragonflyengineaction.Action{Kind: dragonflyengineaction.Break, ID: id, Reason: reason})
	}
	b.places = dragonflymap.Map[string, uint64]{}
	b.waiting, b.running = dragonflymap.Map[uint64, job]{}, dragonflymap.Map[uint64, job]{}
	b.iterationEnd = 0
	return b, acts
}

func (b Batch) fault(ev dragonflyengineevent.Event) Batch {
	if ev.SlowPercent > 0 {
		b.slowPercent = ev.SlowPercent
	}
	if ev.TurnCold {
		b.cold, b.warmth = true, 0
	}
	return b
}

// advance ends the iteration that is due and starts the next one.
func (b Batch) advance(now dragonflyinstant.Instant, acts []dragonflyengineaction.Action) (Batch, []dragonflyengineaction.Action) {
	if b.iterationEnd != 0 && !now.Before(b.iterationEnd) {
		b, acts = b.generate(acts)
		b.iterationEnd = 0
	}
	if b.iterationEnd != 0 {
		return b, acts
	}
	b = b.admit(now)
	if b.running.Len() == 0 {
		return b, acts
	}
	b.iterationEnd = now.Add(b.iterationTime())
	return b, acts
}

// admit moves waiting requests into the batch, by priority and arrival.
func (b Batch) admit(now dragonflyinstant.Instant) Batch {
	for key, j := range b.waiting.All() {
		if b.running.Len() >= b.cfg.MaxBatch {
			break
		}
		missing := len(j.blocks) - b.cache.cachedPrefix(j.blocks) + j.resumed/resumedTokensPerBlock
		j.ready = now.Add(b.slowed(dragonflyduration.Duration(missing) * b.cfg.PrefillPerBlock))
		b.cache = b.cache.with(now, j.blocks)
		b.waiting = b.waiting.Without(key)
		b.running = b.running.With(key, j)
	}
	return b
}

// generate makes one token for each request whose prompt has been read.
func (b Batch) generate(acts []dragonflyengineaction.Action) (Batch, []dragonflyengineaction.Action) {
	collapsed := b.collapsed()
	for key, j := range b.running.All() {
		if j.ready.After(b.iterationEnd) {
			continue
		}
		if j.next < j.max {
			acts = append(acts, dragonflyengineaction.Action{Kind: dragonflyengineaction.Token, ID: j.id, Index: j.next})
			j.next++
			b.warmth++
			b.running = b.running.With(key, j)
		}
		if j.next >= j.max {
			acts = append(acts, dragonflyengineaction.Action{Kind: dragonflyengineaction.Finish, ID: j.id, Index: j.next})
			b = b.without(j.id)
		}
	}
	switch {
	case collapsed:
		b.warmth = 0
	case b.warmth >= b.warmUpTokens():
		b.cold = false
	}
	return b, acts
}

func (b Batch) warmUpTokens() int {
	if b.cfg.WarmUpTokens > 0 {
		return b.cfg.WarmUpTokens
	}
	return defaultWarmUpTokens
}

func (b Batch) collapsed() bool { return b.cold && b.InFlight() > b.cfg.ColdLimit }

func (b Batch) iterationTime() dragonflyduration.Duration {
	d := b.slowed(b.cfg.TokenTime + dragonflyduration.Duration(b.running.Len())*b.cfg.TokenTimePerRequest)
	switch {
	case b.collapsed():
		return d * dragonflyduration.Duration(b.cfg.CollapseFactor)
	case b.cold:
		return d * dragonflyduration.Duration(b.cfg.ColdFactor)
	}
	return d
}

func (b Batch) slowed(d dragonflyduration.Duration) dragonflyduration.Duration {
	return d * dragonflyduration.Duration(b.slowPercent) / 100
}

func refuse(id, reason string) []dragonflyengineaction.Action {
	return []dragonflyengineaction.Action{{Kind: dragonflyengineaction.Refuse, ID: id, Reason: reason}}
}
