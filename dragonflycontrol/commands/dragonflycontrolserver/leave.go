package dragonflycontrolserver

import (
	"context"
	"log/slog"
	"time"

	"dragonflyrelay.example/library/values/dragonflyconsensusevent"
)

const (
	// leaveTimeout bounds how long an instance that stops waits to be replaced. A change of
	// the members takes a few syncs; with the other steps of a shutdown it must be over
	// before the process is killed.
	leaveTimeout = 1500 * time.Millisecond
	// leaveRetryDelay is the time between two requests to be replaced.
	leaveRetryDelay = 100 * time.Millisecond
)

// Responses to a request to be replaced.
const (
	replaced    = "replaced"
	noSuccessor = "no-successor"
)

// leave asks the leader to replace this instance, which stops, by one that is ready, and
// waits until that is committed or leaveTimeout is over. The deployment could otherwise not
// bear another loss until the silence of this instance is noticed.
func (in *instance) leave(ctx context.Context) {
	if !in.settings.AllowsMemberChanges() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	began := in.clock.Now()
	outcome, err := in.requestReplacement(ctx, in.consensusState.Load().Leader())
	for err != nil && awaitRetry(ctx, leaveRetryDelay) == nil {
		outcome, err = in.requestReplacement(ctx, in.consensusState.Load().Leader())
	}
	slog.Info("left-members", "instance", in.name, "outcome", outcome, "error", err, "ms", in.clock.Now().Sub(began).Milliseconds())
}

// requestReplacement asks leader to replace this instance, and returns the outcome, replaced
// or noSuccessor.
func (in *instance) requestReplacement(ctx context.Context, leader string) (outcome string, err error) {
	call := in.leaveCall
	if leader != in.name {
		call = func(ctx context.Context, req []byte) (res []byte, err error) {
			return in.callLeader(ctx, leader, rpcLeave, req)
		}
	}
	res, err := call(ctx, []byte(in.name))
	return string(res), err
}

// leaveCall receives the request of a member to be replaced. It returns once the member is
// not needed any more, or at once if no instance can replace it.
func (in *instance) leaveCall(ctx context.Context, req []byte) (res []byte, err error) {
	name := string(req)
	ev := dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Leaving, Name: name}
	if err := in.consensus.In.Put(ctx, ev); err != nil {
		return nil, err
	}
	for {
		appliedChanged := in.appliedChanged.Changed()
		c := in.consensusState.Load()
		switch {
		case !c.Leading():
			return nil, errNotLeading
		case !c.Retains(name):
			return []byte(replaced), nil
		case !c.AwaitsLearners(in.clock.Now()):
			return []byte(noSuccessor), nil
		}
		select {
		case <-appliedChanged:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
