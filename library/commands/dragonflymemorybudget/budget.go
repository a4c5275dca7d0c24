// Package dragonflymemorybudget decides who may hold how much of the memory that a process
// sets aside for what its callers send and read: bodies that arrive, messages that are not
// complete, and responses that callers read slowly. It addresses many callers that send
// large bodies at once, most of which never end: each body is legal, but their sum exceeds
// the memory of the instance.
package dragonflymemorybudget

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflymap"
)

const (
	// SmallBytes is the size up to which a holder may use the part of the budget that is
	// kept for small ones. Ordinary bodies have a few KiB.
	SmallBytes = 64 << 10
	// smallDivisor divides the limit to get the part that is kept for small holders.
	smallDivisor = 8
)

// holder is one body, message or response, or the sum of those of one connection.
type holder struct {
	bytes int64
	since dragonflyinstant.Instant // of its first byte, or since when the caller is awaited
	runs  bool                     // does not wait for its caller, so that closing it would lose work
}

// Budget holds what is reserved by whom. The zero value grants everything. Each method
// returns the changed budget.
type Budget struct {
	limit    int64 // bytes, 0 for no limit
	patience dragonflyduration.Duration
	used     int64
	holders  dragonflymap.Map[uint64, holder]

	closings     dragonflymap.Map[uint64, closing] // by the id of the holder
	open         dragonflymap.Map[uint64, bool]    // numbers of closings that have not ended
	closed       uint64                            // number of the latest closing
	settled      uint64                            // number up to which all closings have ended
	closingBytes int64
}

// closing is a holder that has been closed for others and has not released its memory yet.
type closing struct {
	number uint64
	bytes  int64
}

// New returns a budget of limit bytes, 0 for no limit.
func New(limit int64) Budget { return Budget{limit: limit} }

// WithPatience returns the budget in which a holder is not closed for others before it has
// waited for its caller for d. Whoever finds no room then waits and does not give way, so
// that bodies that arrive at once are read one after the other instead of being closed.
func (b Budget) WithPatience(d dragonflyduration.Duration) Budget {
	b.patience = d
	return b
}

// Used returns the bytes that are reserved, without those of closed holders.
func (b Budget) Used() int64 { return b.used }

// Limit returns the limit in bytes, 0 for none.
func (b Budget) Limit() int64 { return b.limit }

// WithReserved returns the budget in which the holder id has bytes reserved in all. If there
// is no room, the holders that have held most for longest, by bytes times age, are closed
// first; holders that run are never closed, and the time for which they have run does not
// count. It returns the ids to close, and false if the holder itself has to give way, which
// then holds what it held before.
func (b Budget) WithReserved(now dragonflyinstant.Instant, id uint64, bytes int64) (next Budget, closed []uint64, ok bool) {
	h, found := b.holders.Get(id)
	if !found {
		h.since = now
	}
	grown := h
	grown.bytes = bytes
	room := b.roomFor(bytes)
	next = b
	for next.limit > 0 && bytes > h.bytes && next.used-h.bytes+bytes > room {
		victim, weight, any := next.heaviest(now, id)
		if !any || next.patience == 0 && !grown.runs && grown.weight(now) > weight {
			return b, nil, false
		}
		closed = append(closed, victim)
		next = next.withClosed(victim)
	}
	next.used += bytes - h.bytes
	next.holders = next.holders.With(id, grown)
	return next, closed, true
}

// WithRunning returns the budget in which the holder id no longer waits for its caller, or
// waits for it again from now on. It may have nothing reserved yet: a request without a body
// reserves memory only for its response.
func (b Budget) WithRunning(now dragonflyinstant.Instant, id uint64, runs bool) Budget {
	h, _ := b.holders.Get(id)
	h.runs, h.since = runs, now
	b.holders = b.holders.With(id, h)
	return b
}

// Without returns the budget after the holder id has released its memory, whether it was
// closed or not.
func (b Budget) Without(id uint64) Budget {
	return b.withoutClosing(id).withoutHolder(id)
}

// withClosed returns the budget after the holder id has been closed.
func (b Budget) withClosed(id uint64) Budget {
	h, _ := b.holders.Get(id)
	b = b.Without(id)
	b.closed++
	b.closings, b.open = b.closings.With(id, closing{number: b.closed, bytes: h.bytes}), b.open.With(b.closed, true)
	b.closingBytes += h.bytes
	return b
}

// withoutClosing returns the budget after the closed holder id has released its memory.
func (b Budget) withoutClosing(id uint64) Budget {
	c, ok := b.closings.Get(id)
	if !ok {
		return b
	}
	b.closings, b.open, b.closingBytes = b.closings.Without(id), b.open.Without(c.number), b.closingBytes-c.bytes
	for b.settled < b.closed {
		if _, open := b.open.Get(b.settled + 1); open {
			break
		}
		b.settled++
	}
	return b
}

// Closed returns the number of the latest closing, for Settled.
func (b Budget) Closed() uint64 { return b.closed }

// Settled reports whether memory that was reserved when number was the latest closing may be
// used. A closed holder has its memory until it has noticed and released it. Those that are
// closed later are waited for by whoever they are closed for.
func (b Budget) Settled(number uint64) bool {
	return b.limit == 0 || b.settled >= number || b.used+b.closingBytes <= b.limit
}

// withoutHolder returns the budget without the reservation of id.
func (b Budget) withoutHolder(id uint64) Budget {
	h, ok := b.holders.Get(id)
	if !ok {
		return b
	}
	b.used -= h.bytes
	b.holders = b.holders.Without(id)
	return b
}

// Fits reports whether a holder of so many bytes has room when nothing else is reserved.
func (b Budget) Fits(bytes int64) bool { return b.limit == 0 || bytes <= b.roomFor(bytes) }

// Holds reports whether id has a reservation. One that was closed has none.
func (b Budget) Holds(id uint64) bool {
	_, ok := b.holders.Get(id)
	return ok
}

// Closes reports whether id has been closed and has not released its memory yet.
func (b Budget) Closes(id uint64) bool {
	_, ok := b.closings.Get(id)
	return ok
}

// roomFor returns how much may be reserved in all after a holder of size bytes has grown.
func (b Budget) roomFor(size int64) int64 {
	if size <= SmallBytes {
		return b.limit
	}
	return b.limit - b.limit/smallDivisor
}

// heaviest returns the holder other than id that is closed first.
func (b Budget) heaviest(now dragonflyinstant.Instant, id uint64) (victim uint64, weight float64, any bool) {
	for other, h := range b.holders.All() {
		if now.Sub(h.since) < b.patience {
			continue
		}
		if w := h.weight(now); other != id && !h.runs && h.bytes > 0 && (!any || w > weight) {
			victim, weight, any = other, w, true
		}
	}
	return victim, weight, any
}

// weight returns what the holder costs, in bytes times seconds. The slowest and largest
// weigh most. One that has just begun weighs its bytes for a millisecond, so that the larger
// of two counts as heavier.
func (h holder) weight(now dragonflyinstant.Instant) float64 {
	return float64(h.bytes) * (now.Sub(h.since).Seconds() + 1e-3)
}
