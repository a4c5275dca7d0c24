package dragonflywaitingroom

import "dragonflyrelay.example/library/values/dragonflywaitingrequest"

const (
	// maxWaiting bounds the number of requests. Each holds a connection of a caller, of
	// which the smallest entries have about 4,000, and is looked at with each event of
	// control.
	maxWaiting = 512
	// overhead is the memory of the connection and the handler of a request, in bytes.
	overhead = 16 << 10
	// largestShare is the share of the memory above which requests of a workspace are evicted
	// first, whatever the ranks are.
	largestShare = 0.5
	// reasonFull is the reason of refusals by eviction or for lack of memory.
	reasonFull = "too many requests wait"
)

// full reports whether the queue exceeds its bounds of memory or number.
func (r Room) full() bool { return r.waiting.Len() > maxWaiting || r.bytes > r.maxBytes }

// evicted returns the id of the request that a full queue evicts: the largest one, the newest
// of equals, of the workspace with the most bytes in the least urgent rank. A workspace with
// more than largestShare of the room is looked at alone if there are others.
func (r Room) evicted() (id uint64) {
	total, last := map[string]int64{}, 0
	for _, q := range r.waiting.All() {
		total[q.Workspace] += q.Size
	}
	flooding, hasFlooding := "", false
	for name, bytes := range total {
		if len(total) > 1 && float64(bytes) > largestShare*float64(r.bytes) {
			flooding, hasFlooding = name, true
		}
	}
	considered := func(q dragonflywaitingrequest.Request) bool { return !hasFlooding || q.Workspace == flooding }
	for _, q := range r.waiting.All() {
		if considered(q) {
			last = max(last, urgency(q))
		}
	}
	inRank := map[string]int64{}
	for _, q := range r.waiting.All() {
		if considered(q) && urgency(q) == last {
			inRank[q.Workspace] += q.Size
		}
	}
	var worst dragonflywaitingrequest.Request
	for _, q := range r.waiting.All() {
		if !considered(q) || urgency(q) != last {
			continue
		}
		a, b := inRank[q.Workspace], inRank[worst.Workspace]
		if worst.ID == 0 || a > b || a == b && q.Workspace == worst.Workspace && q.Size >= worst.Size || a == b && q.Workspace > worst.Workspace {
			worst = q
		}
	}
	return worst.ID
}

// unroutedRank is the rank of requests whose rank is not known: below all others.
const unroutedRank = 1 << 20

func urgency(q dragonflywaitingrequest.Request) int {
	if q.Unrouted {
		return unroutedRank
	}
	return q.Rank
}
