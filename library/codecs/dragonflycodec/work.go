package dragonflycodec

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflywork"
)

// MarshalWork returns the CBOR encoding of w.
func MarshalWork(w dragonflywork.Work) ([]byte, error) { return marshal("work", workToWire(w)) }

// UnmarshalWork decodes the output of MarshalWork. Unknown fields are ignored,
// so that newer processes can add fields; malformed input is an error.
func UnmarshalWork(raw []byte) (dragonflywork.Work, error) {
	return unmarshal("work", raw, workFromWire)
}

type wireWork struct {
	Request         string      `cbor:"1,keyasint,omitempty"`
	Attempt         int         `cbor:"2,keyasint,omitempty"`
	Group           uint64      `cbor:"3,keyasint,omitempty"`
	Fence           uint64      `cbor:"4,keyasint,omitempty"`
	Workspace       string      `cbor:"5,keyasint,omitempty"`
	Class           string      `cbor:"6,keyasint,omitempty"`
	Kind            uint8       `cbor:"7,keyasint,omitempty"`
	Model           string      `cbor:"8,keyasint,omitempty"`
	Prompt          string      `cbor:"9,keyasint,omitempty"`
	MaxTokens       int         `cbor:"10,keyasint,omitempty"`
	Delivered       []string    `cbor:"11,keyasint,omitempty"`
	FirstToken      int64       `cbor:"12,keyasint,omitempty"`
	Gap             int64       `cbor:"13,keyasint,omitempty"`
	Deadline        int64       `cbor:"14,keyasint,omitempty"`
	ConfigVersion   uint64      `cbor:"15,keyasint,omitempty"`
	ConfirmationAge int64       `cbor:"16,keyasint,omitempty"`
	Service         string      `cbor:"17,keyasint,omitempty"`
	Method          string      `cbor:"18,keyasint,omitempty"`
	Path            string      `cbor:"19,keyasint,omitempty"`
	Headers         [][2]string `cbor:"20,keyasint,omitempty"`
	Body            []byte      `cbor:"21,keyasint,omitempty"`
	Idempotent      bool        `cbor:"22,keyasint,omitempty"`
}

func workToWire(w dragonflywork.Work) wireWork {
	return wireWork{
		Request:         w.Request,
		Attempt:         w.Attempt,
		Group:           w.Group,
		Fence:           w.Fence,
		Workspace:       w.Workspace,
		Class:           w.Class,
		Kind:            uint8(w.Kind),
		Model:           w.Model,
		Prompt:          w.Prompt,
		MaxTokens:       w.MaxTokens,
		Delivered:       w.Delivered,
		FirstToken:      int64(w.FirstToken),
		Gap:             int64(w.Gap),
		Deadline:        int64(w.Deadline),
		ConfigVersion:   w.ConfigVersion,
		ConfirmationAge: int64(w.ConfirmationAge),
		Service:         w.Service,
		Method:          w.Method,
		Path:            w.Path,
		Headers:         w.Headers,
		Body:            w.Body,
		Idempotent:      w.Idempotent,
	}
}

func workFromWire(w wireWork) dragonflywork.Work {
	v := dragonflywork.Work{
		Request:         w.Request,
		Attempt:         w.Attempt,
		Group:           w.Group,
		Fence:           w.Fence,
		Workspace:       w.Workspace,
		Class:           w.Class,
		Model:           w.Model,
		Prompt:          w.Prompt,
		MaxTokens:       w.MaxTokens,
		Delivered:       w.Delivered,
		FirstToken:      dragonflyduration.Duration(w.FirstToken),
		Gap:             dragonflyduration.Duration(w.Gap),
		Deadline:        dragonflyduration.Duration(w.Deadline),
		ConfigVersion:   w.ConfigVersion,
		ConfirmationAge: dragonflyduration.Duration(w.ConfirmationAge),
		Service:         w.Service,
		Method:          w.Method,
		Path:            w.Path,
		Headers:         w.Headers,
		Body:            w.Body,
		Idempotent:      w.Idempotent,
	}
	setEnum(&v.Kind, w.Kind)
	return v
}
