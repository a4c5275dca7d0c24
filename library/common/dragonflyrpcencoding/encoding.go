// Package dragonflyrpcencoding sends byte slices over drpc, so that the hand-written
// codecs stay independent of the transport.
package dragonflyrpcencoding

import (
	"github.com/pkg/errors"
	"storj.io/drpc"
)

// Encoding is a drpc.Encoding for messages of type *[]byte. The bytes are sent
// unchanged. An unmarshalled message doesn't share memory with the buffer.
type Encoding struct{}

// Marshal returns the bytes that msg points to.
func (Encoding) Marshal(msg drpc.Message) (buf []byte, err error) {
	p, ok := msg.(*[]byte)
	if !ok {
		return nil, errors.Errorf("marshal %T: only *[]byte is supported", msg)
	}
	return *p, nil
}

// Unmarshal sets the slice that msg points to to a copy of buf.
func (Encoding) Unmarshal(buf []byte, msg drpc.Message) (err error) {
	p, ok := msg.(*[]byte)
	if !ok {
		return errors.Errorf("unmarshal %T: only *[]byte is supported", msg)
	}
	*p = append([]byte(nil), buf...)
	return nil
}
