package dragonflycontrolserver

import (
	"context"
	"time"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/commands/dragonflyconsensus"
	"dragonflyrelay.example/library/common/dragonflyring"
	"dragonflyrelay.example/library/common/dragonflyrpcclient"
	"dragonflyrelay.example/library/values/dragonflyconsensusmessage"
	"github.com/pkg/errors"
)

// Limits of sending to one peer.
const (
	senderRingCapacity = 256
	sendTimeout        = 500 * time.Millisecond
	// maxCallBytes bounds the size of one call. Larger batches are streamed in
	// chunks, because the transport accepts messages of at most 4 MiB.
	maxCallBytes = 2 << 20
	chunkBytes   = 1 << 20
	// transferTimeout bounds the streaming of one batch, usually with a snapshot.
	transferTimeout = 30 * time.Second
	// senderIdleTime is the time without a message after which a sender ends. The leader sends
	// to each member many times a second. An instance that starts with an empty disk has a new
	// name, and nothing more is sent under its earlier one.
	senderIdleTime = 10 * time.Second
)

// sender sends consensus messages to one peer. Messages may be lost, since the
// consensus core retries those that matter.
type sender struct {
	name   string
	in     *dragonflyring.Ring[dragonflyconsensusmessage.Message]
	client *dragonflyrpcclient.Client
	idle   time.Duration
}

func newSender(name string, client *dragonflyrpcclient.Client, idle time.Duration) *sender {
	return &sender{name: name, client: client, idle: idle, in: dragonflyring.New[dragonflyconsensusmessage.Message]("sender-"+name, senderRingCapacity)}
}

// send queues m. It drops m if the queue is full or closed, or if there is no sender.
func (s *sender) send(m dragonflyconsensusmessage.Message) {
	if s == nil || s.in.TryPut(m) != nil {
		droppedMessages.Add(dragonflyconsensus.Host(m.To), 1)
	}
}

// Run sends until ctx ends, or until it has had no message for the idle time.
func (s *sender) Run(ctx context.Context) error {
	defer s.client.Close()
	for {
		m, err := s.next(ctx)
		if ctx.Err() == nil && errors.Is(err, context.DeadlineExceeded) {
			return nil
		}
		if err != nil {
			return err
		}
		if s.deliver(ctx, s.batch(m)) != nil {
			s.dropQueued()
		}
	}
}

// next returns the next message. It returns context.DeadlineExceeded after the idle time.
func (s *sender) next(ctx context.Context) (m dragonflyconsensusmessage.Message, err error) {
	ctx, cancel := context.WithTimeout(ctx, s.idle)
	defer cancel()
	return s.in.Take(ctx)
}

// batch returns first and the messages queued after it, up to about half of
// maxCallBytes.
func (s *sender) batch(first dragonflyconsensusmessage.Message) []dragonflyconsensusmessage.Message {
	batch, size := []dragonflyconsensusmessage.Message{first}, estimatedSize(first)
	for size < maxCallBytes/2 {
		select {
		case m := <-s.in.C():
			batch = append(batch, m)
			size += estimatedSize(m)
		default:
			return batch
		}
	}
	return batch
}

// estimatedSize estimates the encoded size of m in bytes.
func estimatedSize(m dragonflyconsensusmessage.Message) int {
	size := 128
	for _, e := range m.Entries {
		size += 512 + len(e.Change.Body)
	}
	return size
}

// deliver sends the batch in one call, or as a stream if it is above maxCallBytes.
func (s *sender) deliver(ctx context.Context, batch []dragonflyconsensusmessage.Message) (err error) {
	raw, err := dragonflycodec.MarshalMessages(batch)
	if err != nil {
		return err
	}
	if len(raw) > maxCallBytes {
		return s.transfer(ctx, raw)
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	_, err = s.client.Call(ctx, rpcPeer, raw)
	return err
}

// transfer streams a large batch in chunks.
func (s *sender) transfer(ctx context.Context, raw []byte) (err error) {
	defer func() { err = errors.WithMessage(err, "transfer snapshot") }()
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	stream, err := s.client.Open(ctx, rpcTransfer)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for len(raw) > 0 {
		n := min(len(raw), chunkBytes)
		if err := stream.Send(raw[:n]); err != nil {
			return err
		}
		raw = raw[n:]
	}
	if err := stream.CloseSend(); err != nil {
		return err
	}
	_, err = stream.Receive() // The peer acknowledges the batch.
	return err
}

// dropQueued drops the messages queued behind a failed call, which are out of date.
func (s *sender) dropQueued() {
	for {
		select {
		case m := <-s.in.C():
			droppedMessages.Add(dragonflyconsensus.Host(m.To), 1)
		default:
			return
		}
	}
}
