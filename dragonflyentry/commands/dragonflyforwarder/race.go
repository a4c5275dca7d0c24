package dragonflyforwarder

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// attemptIndex is the place of an attempt in a race.
type attemptIndex = int

const (
	firstAttempt attemptIndex = iota
	secondAttempt
	raceAttempts
)

// errSuperseded is the cause for which the context of an attempt ends when another one has an
// answer.
var errSuperseded = errors.New("another upstream has answered first")

// race joins two attempts of a request that are in progress at the same time. The first one
// that claims it may write to the caller, and the other one is ended at once. The methods of
// a nil race are those of an attempt on its own.
type race struct {
	mu         sync.Mutex
	cancel     [raceAttempts]context.CancelCauseFunc
	inProgress [raceAttempts]bool
	ran        [raceAttempts]bool // the attempt may have run
	exchanges  [raceAttempts]*exchange
	isClaimed  bool
	winner     attemptIndex // if isClaimed
}

// claim reports whether the attempt may write to the caller.
func (r *race) claim(l attemptIndex) bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isClaimed {
		r.isClaimed, r.winner = true, l
		r.cancel[1-l](errSuperseded)
	}
	return r.winner == l
}

// attach adds the exchange of a stream.
func (r *race) attach(l attemptIndex, x *exchange) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.exchanges[l] = x
}

// release allows the stream x to move, unless another attempt could answer the request too.
func (r *race) release(x *exchange) {
	if r == nil {
		x.phase.Store(movable)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if (r.isClaimed || !r.inProgress[secondAttempt]) && r.allowsMove(x) {
		x.phase.Store(movable)
	}
}

// allowsMove reports whether the route allows another attempt after x and, if x is the first
// one, a second one that may have run. The second one counts the first among its runs.
func (r *race) allowsMove(x *exchange) bool {
	if x == r.exchanges[firstAttempt] && r.ran[secondAttempt] {
		return x.mayMove && x.q.mayRetryLoss(2)
	}
	return x.mayMove
}

// beginSecond reports whether the second attempt may begin: the first one is in progress and
// has no answer, and its stream has not moved. The stream no longer moves then.
func (r *race) beginSecond() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isClaimed || !r.inProgress[firstAttempt] {
		return false
	}
	if x := r.exchanges[firstAttempt]; x != nil && !x.phase.CompareAndSwap(movable, pinned) && x.phase.Load() == moved {
		return false
	}
	r.inProgress[secondAttempt], r.ran[secondAttempt] = true, true
	return true
}

// end records the end of an attempt, which may have run or not. The stream of the other one
// may move again within the attempts of its route.
func (r *race) end(l attemptIndex, ran bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inProgress[l], r.ran[l] = false, ran
	if x := r.exchanges[1-l]; !r.isClaimed && r.inProgress[1-l] && x != nil && r.allowsMove(x) {
		x.phase.CompareAndSwap(pinned, movable)
	}
}

// hasOther reports whether the other attempt is in progress.
func (r *race) hasOther(l attemptIndex) bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inProgress[1-l]
}

// otherRuns returns the number of attempts beside the first one that may have run. The second
// one counts the first among its runs.
func (r *race) otherRuns(l attemptIndex) int {
	if r == nil || l == secondAttempt {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ran[secondAttempt] {
		return 1
	}
	return 0
}

// hasWon reports whether the attempt has claimed the race.
func (r *race) hasWon(l attemptIndex) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isClaimed && r.winner == l
}
