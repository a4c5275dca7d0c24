package dragonflycodec

import (
	"dragonflyrelay.example/library/values/dragonflyresult"
)

// MarshalResult returns the CBOR encoding of r.
func MarshalResult(r dragonflyresult.Result) ([]byte, error) {
	return marshal("result", resultToWire(r))
}

// UnmarshalResult decodes the output of MarshalResult. Unknown fields are
// ignored, so that newer processes can add fields; malformed input is an error.
func UnmarshalResult(raw []byte) (dragonflyresult.Result, error) {
	return unmarshal("result", raw, resultFromWire)
}

type wireResult struct {
	Outcome uint8       `cbor:"1,keyasint,omitempty"`
	Version uint64      `cbor:"2,keyasint,omitempty"`
	Base    uint64      `cbor:"3,keyasint,omitempty"`
	Message string      `cbor:"4,keyasint,omitempty"`
	Current string      `cbor:"5,keyasint,omitempty"`
	Group   uint64      `cbor:"6,keyasint,omitempty"`
	Fence   uint64      `cbor:"7,keyasint,omitempty"`
	Status  int         `cbor:"8,keyasint,omitempty"`
	Headers [][2]string `cbor:"9,keyasint,omitempty"`
	Body    []byte      `cbor:"10,keyasint,omitempty"`
}

func resultToWire(r dragonflyresult.Result) wireResult {
	return wireResult{
		Outcome: uint8(r.Outcome),
		Version: r.Version,
		Base:    r.Base,
		Message: r.Message,
		Current: r.Current,
		Group:   r.Group,
		Fence:   r.Fence,
		Status:  r.Status,
		Headers: r.Headers,
		Body:    r.Body,
	}
}

func resultFromWire(w wireResult) dragonflyresult.Result {
	r := dragonflyresult.Result{
		Version: w.Version,
		Base:    w.Base,
		Message: w.Message,
		Current: w.Current,
		Group:   w.Group,
		Fence:   w.Fence,
		Status:  w.Status,
		Headers: w.Headers,
		Body:    w.Body,
	}
	setEnum(&r.Outcome, w.Outcome)
	return r
}
