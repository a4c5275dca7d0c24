// Package dragonflyrpcencoding carries byte strings over drpc, so that the
// hand-written codecs stay independent of the transport.
package dragonflyrpcencoding

import (
	"github.com/pkg/errors"
	"storj.io/drpc"
)

// Encoding is a drpc.Encoding for messages of type *[]byte. The bytes are sent
// as they are; an unmarshalled message owns its bytes.
type Encoding struct{}

// Marshal returns the bytes that msg points to.
func (Encoding) Marshal(msg drpc.Message) (buf []byte, err error) {
	p, ok := msg.(*[]byte)
	if !ok {
		return nil, errors.Errorf("marshal %T: only *[]byte is supported", msg)
	}
	return *p, nil
}

// Unmarshal copies buf to where msg points.
func (Encoding) Unmarshal(buf []byte, msg drpc.Message) (err error) {
	p, ok := msg.(*[]byte)
	if !ok {
		return errors.Errorf("unmarshal %T: only *[]byte is supported", msg)
	}
	*p = append([]byte(nil), buf...)
	return nil
}
