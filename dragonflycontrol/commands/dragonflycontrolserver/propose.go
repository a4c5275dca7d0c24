package dragonflycontrolserver

import (
	"context"
	"fmt"
	"io"
	"time"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/common/dragonflyrpcclient"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyconsensusevent"
	"dragonflyrelay.example/library/values/dragonflyresult"
	"github.com/pkg/errors"
)

// proposeTimeout bounds how long a proposal waits until it is durable; after that
// its outcome is unavailable. It is longer than a failover takes.
const proposeTimeout = 3 * time.Second

// proposeCall proposes a change to this instance, or to the leader if another one
// leads.
func (in *instance) proposeCall(ctx context.Context, req []byte) (res []byte, err error) {
	return in.changeCall(ctx, req, true)
}

// forwardCall proposes a change that another instance forwarded. It does not
// forward the change again, so that no forwarding loop can arise.
func (in *instance) forwardCall(ctx context.Context, req []byte) (res []byte, err error) {
	return in.changeCall(ctx, req, false)
}

// changeCall decodes and proposes a change, and encodes the result. A change
// without a time gets the current one.
func (in *instance) changeCall(ctx context.Context, req []byte, forward bool) (res []byte, err error) {
	ch, err := dragonflycodec.UnmarshalChange(req)
	if err != nil {
		return nil, err
	}
	if ch.At == 0 {
		ch.At = time.Now().UnixNano()
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	r := in.change(ctx, ch, forward)
	if r.Outcome == dragonflyresult.NotRun || r.Outcome == dragonflyresult.Unavailable {
		results.Add(outcomeName(r), 1)
	}
	return dragonflycodec.MarshalResult(r)
}

// change validates and proposes a change. If another instance leads, the change is
// sent there if forward is set, and is not run otherwise.
func (in *instance) change(ctx context.Context, ch dragonflychange.Change, forward bool) dragonflyresult.Result {
	if ch.Kind == 0 {
		return dragonflyresult.Result{Outcome: dragonflyresult.Invalid, Message: "the change has no kind"}
	}
	if skew := time.Since(time.Unix(0, ch.At)).Abs(); skew > maxClockSkew {
		return dragonflyresult.Result{
			Outcome: dragonflyresult.Invalid,
			Message: fmt.Sprintf("the clock of the proposer differs from that of control by %s; at most %s is allowed", skew.Round(time.Second), maxClockSkew),
		}
	}
	if in.draining.Load() {
		return notRun("the control instance is shutting down")
	}
	a := in.proposeLocal(ctx, ch)
	if a.leader == "" {
		return a.result
	}
	if !forward {
		return notRun("the control instance does not lead any more")
	}
	return in.proposeAt(ctx, a.leader, ch)
}

// proposeLocal proposes the change to this instance's consensus core.
func (in *instance) proposeLocal(ctx context.Context, ch dragonflychange.Change) answer {
	request := in.requests.Add(1)
	to := make(chan answer, 1)
	if err := in.replies.in.Put(ctx, replyEvent{kind: expectReply, request: request, to: to}); err != nil {
		return answer{result: notRun("the control instance is overloaded")}
	}
	ev := dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Propose, Request: request, Change: ch}
	if err := in.consensus.In.Put(ctx, ev); err != nil {
		in.forget(ctx, request)
		return answer{result: notRun("the control instance is overloaded")}
	}
	select {
	case a := <-to:
		return a
	case <-ctx.Done():
		in.forget(ctx, request)
		return answer{result: unavailable("no quorum acknowledged the change in time")}
	}
}

// forget stops waiting for the result of a proposal.
func (in *instance) forget(ctx context.Context, request uint64) {
	_ = in.replies.in.Put(context.WithoutCancel(ctx), replyEvent{kind: forgetReply, request: request})
}

// proposeAt sends the change to the leader.
func (in *instance) proposeAt(ctx context.Context, leader string, ch dragonflychange.Change) dragonflyresult.Result {
	raw, err := dragonflycodec.MarshalChange(ch)
	if err != nil {
		return notRun(err.Error())
	}
	client := in.peers.client(leader)
	if client == nil {
		return notRun("the leader's address is not known")
	}
	res, err := client.Call(ctx, rpcForward, raw)
	if errors.Is(err, dragonflyrpcclient.ErrNotSent) || errors.Is(err, dragonflyrpcclient.ErrBusy) {
		return notRun("the leader cannot be reached: " + err.Error())
	}
	if err != nil {
		return unavailable("the leader did not answer: " + err.Error())
	}
	r, err := dragonflycodec.UnmarshalResult(res)
	if err != nil {
		return unavailable("the leader's answer is malformed: " + err.Error())
	}
	return r
}

func notRun(message string) dragonflyresult.Result {
	return dragonflyresult.Result{Outcome: dragonflyresult.NotRun, Message: message}
}

func unavailable(message string) dragonflyresult.Result {
	return dragonflyresult.Result{
		Outcome: dragonflyresult.Unavailable, Message: message + "; send the same id again to learn the outcome",
	}
}

func isEOF(err error) bool { return errors.Is(err, io.EOF) }
