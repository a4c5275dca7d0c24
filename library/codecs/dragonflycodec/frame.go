package dragonflycodec

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyframe"
)

// MarshalFrame returns the CBOR encoding of f.
func MarshalFrame(f dragonflyframe.Frame) ([]byte, error) { return marshal("piece", frameToWire(f)) }

// UnmarshalFrame decodes the output of MarshalFrame. Unknown fields are
// ignored, so that newer processes can add fields; malformed input is an error.
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
	MayHaveRun bool        `cbor:"7,keyasint,omitempty"`
	Load       wireLoad    `cbor:"8,keyasint,omitempty"`
	Status     int         `cbor:"9,keyasint,omitempty"`
	Headers    [][2]string `cbor:"10,keyasint,omitempty"`
	Body       []byte      `cbor:"11,keyasint,omitempty"`
}

func frameToWire(f dragonflyframe.Frame) wireFrame {
	return wireFrame{
		Kind:       uint8(f.Kind),
		Attempt:    f.Attempt,
		Index:      f.Index,
		Text:       f.Text,
		Reason:     f.Reason,
		RetryAfter: int64(f.RetryAfter),
		MayHaveRun: f.MayHaveRun,
		Load:       loadToWire(f.Load),
		Status:     f.Status,
		Headers:    f.Headers,
		Body:       f.Body,
	}
}

func frameFromWire(w wireFrame) dragonflyframe.Frame {
	f := dragonflyframe.Frame{
		Attempt:    w.Attempt,
		Index:      w.Index,
		Text:       w.Text,
		Reason:     w.Reason,
		RetryAfter: dragonflyduration.Duration(w.RetryAfter),
		MayHaveRun: w.MayHaveRun,
		Load:       loadFromWire(w.Load),
		Status:     w.Status,
		Headers:    w.Headers,
		Body:       w.Body,
	}
	setEnum(&f.Kind, w.Kind)
	return f
}
