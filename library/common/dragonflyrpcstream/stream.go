// Package dragonflyrpcstream provides a bidirectional stream of messages, which are
// byte slices, between two processes.
package dragonflyrpcstream

import (
	"context"

	"dragonflyrelay.example/library/common/dragonflyrpcencoding"
	"github.com/pkg/errors"
	"storj.io/drpc"
)

// Stream sends and receives messages. One goroutine may send while another
// receives.
type Stream struct {
	s       drpc.Stream
	release func()
}

// New wraps a drpc stream. Close calls onClose if it is not nil.
func New(s drpc.Stream, onClose func()) *Stream { return &Stream{s: s, release: onClose} }

// Context returns a context that ends with the stream, also if the peer disconnects.
func (s *Stream) Context() context.Context { return s.s.Context() }

// Send sends one message.
func (s *Stream) Send(msg []byte) (err error) {
	defer func() { err = errors.WithMessage(err, "send message") }()
	return s.s.MsgSend(&msg, dragonflyrpcencoding.Encoding{})
}

// Receive waits for one message. The error wraps io.EOF after the peer has sent its
// last message.
func (s *Stream) Receive() (msg []byte, err error) {
	defer func() { err = errors.WithMessage(err, "receive message") }()
	err = s.s.MsgRecv(&msg, dragonflyrpcencoding.Encoding{})
	return msg, err
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
