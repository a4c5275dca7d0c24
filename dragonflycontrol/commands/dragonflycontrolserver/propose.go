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

// proposeTimeout bounds how long a proposal waits for its result. It is above
// the time of a failover, and in it a change becomes durable or unavailable.
const proposeTimeout = 3 * time.Second

// proposeCall makes a change, here or at the leader.
func (in *instance) proposeCall(ctx context.Context, req []byte) (res []byte, err error) {
	return in.changeCall(ctx, req, true)
}

// forwardCall makes a change that another instance forwarded. It is not
// forwarded again, so that two instances cannot pass it back and forth.
func (in *instance) forwardCall(ctx context.Context, req []byte) (res []byte, err error) {
	return in.changeCall(ctx, req, false)
}

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

// proposeLocal proposes the change to the own consensus core.
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
