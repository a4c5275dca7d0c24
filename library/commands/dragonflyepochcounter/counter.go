// Package dragonflyepochcounter decides which epochs the leader gives to the groups of
// engines that it forms. An engine refuses to join a group of a lower epoch than it has seen
// since its start.
package dragonflyepochcounter

import "dragonflyrelay.example/library/values/dragonflyenginegroup"

const (
	// termBits is the number of low bits of an epoch that count within a consensus term,
	// enough for a million groups.
	termBits = 20
	// maxHeld is the highest epoch of an engine that the counter follows. The 2^50 epochs
	// after it are all valid in reports, so that no group that is formed later is refused.
	maxHeld = dragonflyenginegroup.MaxEpoch - 1<<50
	// maxRaised bounds the epoch to which refusals raise the counter. Engines that refuse
	// epochs beyond 2^52 have been ordered by no version: 2^52 was the highest epoch that
	// reports could name.
	maxRaised = 3 << 51
)

// EpochCounter is the highest epoch that the leader has given, or that the next one must
// exceed. The zero EpochCounter has given none.
type EpochCounter struct{ last uint64 }

// Last returns the latest epoch.
func (c EpochCounter) Last() uint64 { return c.last }

// WithTerm returns the counter of the leader of a consensus term. The epochs of a term are
// higher than those of the terms before it.
func (c EpochCounter) WithTerm(term uint64) EpochCounter {
	c.last = term << termBits
	return c
}

// WithNext returns the counter whose Last is the epoch of the next group.
func (c EpochCounter) WithNext() EpochCounter {
	c.last++
	return c
}

// WithHeld returns the counter after the agent beside an engine has reported that the engine
// is in a group of the epoch. Heartbeats do not count: any process can send one.
func (c EpochCounter) WithHeld(epoch uint64) EpochCounter {
	if CanFollow(epoch) {
		c.last = max(c.last, epoch)
	}
	return c
}

// CanFollow reports whether a group can be formed with an engine that is in a group of the
// epoch.
func CanFollow(epoch uint64) bool { return epoch <= maxHeld }

// WithRefused returns the counter after an engine has refused to join a group of the epoch
// for a higher one that it has seen, which it does not name. Each refusal doubles the epoch,
// so that about thirty reach the highest one that an engine may have been ordered with.
func (c EpochCounter) WithRefused(epoch uint64) EpochCounter {
	if CanOvertake(epoch) {
		c.last = max(c.last, min(2*epoch, maxRaised))
	}
	return c
}

// CanOvertake reports whether a later group may be accepted by an engine that has refused to
// join one of the epoch.
func CanOvertake(epoch uint64) bool { return epoch < maxRaised }
