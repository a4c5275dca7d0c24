package dragonflycodec

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyframe"
)

// MarshalFrame returns the CBOR form of p.
func MarshalFrame(p dragonflyframe.Frame) ([]byte, error) { return marshal("piece", frameToWire(p)) }

// UnmarshalFrame reads what MarshalFrame wrote. Unknown fields are ignored, so that
// a newer process can add some; anything malformed is an error.
func UnmarshalFrame(raw []byte) (dragonflyframe.Frame, error) {
	return unmarshal("piece", raw, frameFromWire)
}

type wireFrame struct {
	Kind       uint8       `cbor:"1,keyasint,omitempty"`
	Attempt    int         `cbor:"2,keyasint,omitempty"`
	Index      int         `cbor:"3,keyasint,omitempty"`
	Text       string      `cbor:"4,keyasint,omitempty"`
	Reason     string      `cbor:"5,keyasint,omitempty"`
	RetryAfter int64       `cbor:"6,keyasint,omitempty"`
	Ran        bool        `cbor:"7,keyasint,omitempty"`
	Load       wireLoad    `cbor:"8,keyasint,omitempty"`
	Status     int         `cbor:"9,keyasint,omitempty"`
	Headers    [][2]string `cbor:"10,keyasint,omitempty"`
	Body       []byte      `cbor:"11,keyasint,omitempty"`
}

func frameToWire(p dragonflyframe.Frame) wireFrame {
	return wireFrame{
		Kind:       uint8(p.Kind),
		Attempt:    p.Attempt,
		Index:      p.Index,
		Text:       p.Text,
		Reason:     p.Reason,
		RetryAfter: int64(p.RetryAfter),
		Ran:        p.Ran,
		Load:       loadToWire(p.Load),
		Status:     p.Status,
		Headers:    p.Headers,
		Body:       p.Body,
	}
}

func frameFromWire(w wireFrame) dragonflyframe.Frame {
	p := dragonflyframe.Frame{
		Attempt:    w.Attempt,
		Index:      w.Index,
		Text:       w.Text,
		Reason:     w.Reason,
		RetryAfter: dragonflyduration.Duration(w.RetryAfter),
		Ran:        w.Ran,
		Load:       loadFromWire(w.Load),
		Status:     w.Status,
		Headers:    w.Headers,
		Body:       w.Body,
	}
	setEnum(&p.Kind, w.Kind)
	return p
}
