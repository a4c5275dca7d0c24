package dragonflyentryserver

import (
	"context"
	"expvar"
	"time"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/common/dragonflyrpcclient"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyentryaction"
	"dragonflyrelay.example/library/values/dragonflyentryevent"
	"dragonflyrelay.example/library/values/dragonflyresult"
	"github.com/pkg/errors"
)

const (
	proposeCall = "/dragonfly.control/Propose"
	// proposeTimeout covers a quorum write and its forwarding to the leader; when it
	// expires, the change is retried with the same id.
	proposeTimeout = time.Second
)

var proposals = expvar.NewMap("dragonfly-entry-proposals")

// propose sends the change of a on a worker and passes the result to the core.
func (d *dispatcher) propose(ctx context.Context, a dragonflyentryaction.Action) {
	e := d.entry
	err := e.workers.Go(func() {
		_ = e.events.Put(d.base, proposedInput(a.Request, e.proposeToAny(d.base, a.Change)))
	})
	if err != nil {
		d.handle(ctx, proposedInput(a.Request, dragonflyresult.Result{Outcome: dragonflyresult.NotRun}))
	}
}

func proposedInput(request string, r dragonflyresult.Result) input {
	return input{ev: dragonflyentryevent.Event{Kind: dragonflyentryevent.Proposed, Request: request, Result: r}}
}

// proposeToAny sends ch to the control instances in turn, starting with the one
// that answered last, until one returns a result. It returns NotRun only if each
// instance returned NotRun or was not reached; if one of them may have applied the
// change, it returns Unavailable.
func (e *entry) proposeToAny(ctx context.Context, ch dragonflychange.Change) dragonflyresult.Result {
	ch.At = time.Now().UnixNano()
	uncertain := false
	addrs, first := e.settings.Control, int(e.lastControl.Load())
	for i := range addrs {
		at := (first + i) % len(addrs)
		r, err := e.proposeTo(ctx, addrs[at], ch)
		switch {
		case err != nil:
			if !errors.Is(err, dragonflyrpcclient.ErrNotSent) && !errors.Is(err, dragonflyrpcclient.ErrBusy) {
				uncertain = true
			}
		case r.Outcome == dragonflyresult.Unavailable:
			uncertain = true
		case r.Outcome != dragonflyresult.NotRun:
			e.lastControl.Store(int64(at))
			proposals.Add("answered", 1)
			return r
		}
	}
	if uncertain {
		proposals.Add("unavailable", 1)
		return dragonflyresult.Result{Outcome: dragonflyresult.Unavailable}
	}
	proposals.Add("not-run", 1)
	return dragonflyresult.Result{Outcome: dragonflyresult.NotRun}
}

func (e *entry) proposeTo(ctx context.Context, addr string, ch dragonflychange.Change) (r dragonflyresult.Result, err error) {
	raw, err := dragonflycodec.MarshalChange(ch)
	if err != nil {
		return r, errors.WithMessage(dragonflyrpcclient.ErrNotSent, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	res, err := e.clients.get(addr).Call(ctx, proposeCall, raw)
	if err != nil {
		return r, err
	}
	return dragonflycodec.UnmarshalResult(res)
}
