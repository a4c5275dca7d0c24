// Package dragonflybatch simulates the scheduler of an inference engine:
// continuous batching with priorities, a bounded prefix cache, and a cold start
// during which throughput collapses under more load than the cold limit.
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

// resumedTokensPerBlock is the number of delivered tokens that cost a resumed
// request one block of repeated prefill: a token has about 7 bytes, a block 64.
const resumedTokensPerBlock = 9

// defaultWarmUpTokens is the warm-up of an engine that a fault made cold although
// its settings have no warm-up: a second of a full batch at 25 ms a token.
const defaultWarmUpTokens = 32 * 40

// job is one request in the batch or in the queue.
type job struct {
	id      string
	blocks  []uint64
	resumed int // number of tokens delivered before the request was resumed
	next    int // index of the next token
	max     int // number of tokens of the complete answer
	// prefillEnd is the end of the prefill.
	prefillEnd dragonflyinstant.Instant
}

// Batch is the state of the batch. Use New; the zero value has no capacity.
type Batch struct {
	cfg      dragonflybatchsettings.Settings
	arrivals uint64
	keys     dragonflymap.Map[string, uint64]
	waiting  dragonflymap.Map[uint64, job]
	running  dragonflymap.Map[uint64, job]
	cache    cache
	// iterationEnd is when the current iteration emits its tokens, 0 between
	// iterations.
	iterationEnd   dragonflyinstant.Instant
	slowPercent    int
	cold           bool
	warmUpProgress int
	coldPeak       int
	laggedLoad     laggedLoad
}

// New returns an empty batch, which is cold if cfg has a warm-up.
func New(cfg dragonflybatchsettings.Settings) Batch {
	cfg = cfg.WithDefaults()
	return Batch{cfg: cfg, slowPercent: 100, cold: cfg.WarmUpTokens > 0, cache: cache{size: cfg.CacheBlocks}}
}

// InFlight returns the number of requests in the batch and in the queue.
func (b Batch) InFlight() int { return b.running.Len() + b.waiting.Len() }

// Has reports whether the request id is in the batch or in the queue.
func (b Batch) Has(id string) bool {
	_, ok := b.keys.Get(id)
	return ok
}

// Cold reports whether the engine is still warming up, so that load above the cold
// limit collapses its throughput.
func (b Batch) Cold() bool { return b.cold }

// ColdPeak returns the highest number of concurrent requests while cold.
func (b Batch) ColdPeak() int { return b.coldPeak }

// Due returns the time at which the next Tick is needed, 0 if none is.
func (b Batch) Due() dragonflyinstant.Instant { return b.iterationEnd }

// Load returns the load as reported at now, which lags behind the actual load.
func (b Batch) Load(now dragonflyinstant.Instant) dragonflyload.Load {
	l := b.laggedLoad.at(now, b.cfg.LoadLag)
	l.Limit = b.cfg.MaxBatch
	return l
}

// WithRestart returns b after a restart of the model: with an empty prefix cache,
// and cold if the settings have a warm-up.
func (b Batch) WithRestart() Batch {
	b.cold, b.warmUpProgress = b.cfg.WarmUpTokens > 0, 0
	b.cache = cache{size: b.cfg.CacheBlocks, events: b.cache.events, eventCount: b.cache.eventCount}
	return b
}

// Step applies ev, which occurred at now, and returns the resulting actions.
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
	b.laggedLoad = b.laggedLoad.with(now, dragonflyload.Load{InFlight: b.running.Len(), Queued: b.waiting.Len()}, b.cfg.LoadLag)
	return b, acts
}

func (b Batch) arrive(ev dragonflyengineevent.Event) (Batch, []dragonflyengineaction.Action) {
	if b.Has(ev.ID) {
		return b, refuse(ev.ID, dragonflyengineaction.ReasonDuplicate)
	}
	if b.waiting.Len() >= b.cfg.QueueLimit {
		return b, refuse(ev.ID, dragonflyengineaction.ReasonQueueFull)
	}
	b.arrivals++
	// The key sorts by priority, then by arrival.
	key := uint64(max(ev.Priority, 0))<<48 | b.arrivals
	b.keys = b.keys.With(ev.ID, key)
	b.waiting = b.waiting.With(key, job{
		id: ev.ID, blocks: dragonflyprefix.Blocks(ev.Prompt), resumed: len(ev.Delivered),
		next: len(ev.Delivered), max: ev.MaxTokens,
	})
	return b, []dragonflyengineaction.Action{{Kind: dragonflyengineaction.Accept, ID: ev.ID}}
}

func (b Batch) without(id string) Batch {
	key, ok := b.keys.Get(id)
	if !ok {
		return b
	}
	b.keys = b.keys.Without(id)
	b.waiting = b.waiting.Without(key)
	b.running = b.running.Without(key)
	return b
}

func (b Batch) abort(reason string) (Batch, []dragonflyengineaction.Action) {
	var acts []dragonflyengineaction.Action
	for id := range b.keys.All() {
		acts = append(acts, dragonflyengineaction.Action{Kind: dragonflyengineaction.Break, ID: id, Reason: reason})
	}
	b.keys = dragonflymap.Map[string, uint64]{}
	b.waiting, b.running = dragonflymap.Map[uint64, job]{}, dragonflymap.Map[uint64, job]{}
	b.iterationEnd = 0
	return b, acts
}

func (b Batch) fault(ev dragonflyengineevent.Event) Batch {
	if ev.SlowPercent > 0 {
		b.slowPercent = ev.SlowPercent
	}
	if ev.TurnCold {
		b.cold, b.warmUpProgress = true, 0
	}
	return b
}

// advance ends the iteration if it is due and starts the next one.
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

// admit moves waiting requests into the batch in the order of priority and arrival.
func (b Batch) admit(now dragonflyinstant.Instant) Batch {
	for key, j := range b.waiting.All() {
		if b.running.Len() >= b.cfg.MaxBatch {
			break
		}
		missing := len(j.blocks) - b.cache.cachedPrefix(j.blocks) + j.resumed/resumedTokensPerBlock
		j.prefillEnd = now.Add(b.slowed(dragonflyduration.Duration(missing) * b.cfg.PrefillPerBlock))
		b.cache = b.cache.with(now, j.blocks)
		b.waiting = b.waiting.Without(key)
		b.running = b.running.With(key, j)
	}
	return b
}

// generate emits one token for each request whose prefill has ended.
func (b Batch) generate(acts []dragonflyengineaction.Action) (Batch, []dragonflyengineaction.Action) {
	collapsed := b.collapsed()
	for key, j := range b.running.All() {
		if j.prefillEnd.After(b.iterationEnd) {
			continue
		}
		if j.next < j.max {
			acts = append(acts, dragonflyengineaction.Action{Kind: dragonflyengineaction.Token, ID: j.id, Index: j.next})
			j.next++
			b.warmUpProgress++
			b.running = b.running.With(key, j)
		}
		if j.next >= j.max {
			acts = append(acts, dragonflyengineaction.Action{Kind: dragonflyengineaction.Finish, ID: j.id, Index: j.next})
			b = b.without(j.id)
		}
	}
	switch {
	case collapsed:
		b.warmUpProgress = 0
	case b.warmUpProgress >= b.warmUpTokens():
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
