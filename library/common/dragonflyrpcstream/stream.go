// Package dragonflyrpcstream is a two-way stream of byte-string messages
// between two processes.
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

// New wraps a drpc stream. The function release, if not nil, runs on Close.
func New(s drpc.Stream, release func()) *Stream { return &Stream{s: s, release: release} }

// Context ends when the stream does, also when the peer goes away.
func (s *Stream) Context() context.Context { return s.s.Context() }

// Send sends one message.
func (s *Stream) Send(msg []byte) (err error) {
	defer func() { err = errors.WithMessage(err, "send message") }()
	return s.s.MsgSend(&msg, dragonflyrpcencoding.Encoding{})
}

// Receive waits for one message. It returns io.EOF, annotated, when the peer
// has sent its last one.
func (s *Stream) Receive() (msg []byte, err error) {
	defer func() { err = errors.WithMessage(err, "receive message") }()
	err = s.s.MsgRecv(&msg, dragonflyrpcencoding.Encoding{})
	return msg, err
}

// CloseSend tells the peer that no more messages follow.
func (s *Stream) CloseSend() error { return s.s.CloseSend() }

// Close ends the stream and gives its connection back.
func (s *Stream) Close() error {
	err := s.s.Close()
	if s.release != nil {
		s.release()
	}
	return err
}
