package dragonflyfleet

import "dragonflyrelay.example/library/common/dragonflymap"

// maxTombstones bounds the number of ended groups, and that of upstreams that have
// left, which are kept to reject late reports.
const maxTombstones = 1024

// leftBoot is a start of an upstream that has left, or that was removed for its silence.
type leftBoot struct {
	boot   int64
	number uint64 // in the order of these events
}

// noteSilentBoot records that the start boot of the upstream id was removed for its silence.
func (s *step) noteSilentBoot(id string, boot int64) {
	if s.silentBoots.Len() >= maxTombstones {
		s.silentBoots = withoutLeast(s.silentBoots, func(l leftBoot) uint64 { return l.number })
	}
	s.leftCount++
	s.silentBoots = s.silentBoots.With(id, leftBoot{boot: boot, number: s.leftCount})
}

// withoutLeast returns m without the value of the lowest order.
func withoutLeast[V any](m dragonflymap.Map[string, V], order func(v V) uint64) dragonflymap.Map[string, V] {
	least, lowest := "", uint64(0)
	for key, v := range m.All() {
		if o := order(v); least == "" || o < lowest {
			least, lowest = key, o
		}
	}
	return m.Without(least)
}
