package dragonflycontrolserver

import (
	"context"

	"dragonflyrelay.example/library/common/dragonflyring"
	"dragonflyrelay.example/library/values/dragonflyresult"
)

// Kinds of reply events.
const (
	expectReply = iota + 1
	deliverReply
	forgetReply
	drainReplies
)

// replyEvent is an event of the reply duty.
type replyEvent struct {
	kind    int
	request uint64
	to      chan<- answer   // of expectReply; buffers one answer
	answer  answer          // of deliverReply
	drained chan<- struct{} // of drainReplies; closed once no proposal waits
}

// answer is the outcome of a proposal. If leader is set, the proposal was not
// appended and must be sent to that instance.
type answer struct {
	result dragonflyresult.Result
	leader string
}

// replyDuty owns the proposals that wait for an answer. It never puts into another
// ring, so other duties may block on a put into its own.
type replyDuty struct {
	in      *dragonflyring.Ring[replyEvent]
	waiting map[uint64]chan<- answer
	drained chan<- struct{}
}

func newReplyDuty() *replyDuty {
	return &replyDuty{in: dragonflyring.New[replyEvent]("replies", replyRingCapacity), waiting: map[uint64]chan<- answer{}}
}

// Run handles reply events until ctx ends.
func (d *replyDuty) Run(ctx context.Context) error {
	for {
		r, err := d.in.Take(ctx)
		if err != nil {
			return err
		}
		switch r.kind {
		case expectReply:
			d.waiting[r.request] = r.to
		case deliverReply:
			if to, ok := d.waiting[r.request]; ok {
				to <- r.answer
				delete(d.waiting, r.request)
			}
		case forgetReply:
			delete(d.waiting, r.request)
		case drainReplies:
			d.drained = r.drained
		}
		if d.drained != nil && len(d.waiting) == 0 {
			close(d.drained)
			d.drained = nil
		}
	}
}

// answer queues the outcome of a request for the goroutine that waits for it.
// Request 0 has none.
func (d *replyDuty) answer(ctx context.Context, request uint64, r dragonflyresult.Result, leader string) {
	if request != 0 {
		_ = d.in.Put(ctx, replyEvent{kind: deliverReply, request: request, answer: answer{r, leader}})
	}
}
