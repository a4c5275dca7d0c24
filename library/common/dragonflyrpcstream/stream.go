// Package dragonflyrpcstream provides a bidirectional stream of messages, which are
// byte slices, between two processes.
package dragonflyrpcstream

import (
	"context"

	"dragonflyrelay.example/library/common/dragonflyrpcencoding"
	"github.com/pkg/errors"
	"storj.io/drpc"
)

// ErrPeerClosed is wrapped by the error of a stream whose connection the peer has
// closed. The transport reports it as a cancellation, which it is not: the caller of
// the stream has not cancelled it.
var ErrPeerClosed = errors.New("the peer closed the connection")

// Stream sends and receives messages. One goroutine may send while another
// receives.
type Stream struct {
	s       drpc.Stream
	caller  context.Context // with which this process opened the stream; nil if it serves it
	release func()
}

// New wraps the drpc stream of a caller that this process serves.
func New(s drpc.Stream) *Stream { return &Stream{s: s} }

// Opened wraps a drpc stream that this process has opened with ctx. Close calls onClose
// if it is not nil.
func Opened(ctx context.Context, s drpc.Stream, onClose func()) *Stream {
	return &Stream{s: s, caller: ctx, release: onClose}
}

// Context returns a context that ends with the stream, also if the peer disconnects.
func (s *Stream) Context() context.Context { return s.s.Context() }

// Send sends one message.
func (s *Stream) Send(msg []byte) (err error) {
	defer func() { err = errors.WithMessage(err, "send message") }()
	return s.cause(s.s.MsgSend(&msg, dragonflyrpcencoding.Encoding{}))
}

// Receive waits for one message. The error wraps io.EOF after the peer has sent its
// last message.
func (s *Stream) Receive() (msg []byte, err error) {
	defer func() { err = errors.WithMessage(err, "receive message") }()
	if err := s.cause(s.s.MsgRecv(&msg, dragonflyrpcencoding.Encoding{})); err != nil {
		return nil, err
	}
	return msg, nil
}

// cause returns ErrPeerClosed for the cancellation of a stream that this process has opened
// and not cancelled, and err otherwise.
func (s *Stream) cause(err error) error {
	if errors.Is(err, context.Canceled) && s.caller != nil && s.caller.Err() == nil {
		return ErrPeerClosed
	}
	return err
}

// CloseSend signals to the peer that no more messages follow.
func (s *Stream) CloseSend() error { return s.s.CloseSend() }

// Close ends the stream and releases its connection.
func (s *Stream) Close() error {
	err := s.s.Close()
	if s.release != nil {
		s.release()
	}
	return err
}
