package dragonflycodec

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflypiece"
)

// MarshalPiece returns the CBOR form of p.
func MarshalPiece(p dragonflypiece.Piece) ([]byte, error) { return marshal("piece", pieceToWire(p)) }

// UnmarshalPiece reads what MarshalPiece wrote. Unknown fields are ignored, so that
// a newer process can add some; anything malformed is an error.
func UnmarshalPiece(raw []byte) (dragonflypiece.Piece, error) {
	return unmarshal("piece", raw, pieceFromWire)
}

type wirePiece struct {
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

func pieceToWire(p dragonflypiece.Piece) wirePiece {
	return wirePiece{
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

func pieceFromWire(w wirePiece) dragonflypiece.Piece {
	p := dragonflypiece.Piece{
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
