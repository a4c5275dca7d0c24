// Package dragonflycodec encodes and decodes the messages between processes, and
// the records and snapshots of the log, as CBOR. The wire types are separate from
// the values, so that the values need no tags and renaming a field cannot change
// the wire format.
package dragonflycodec

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// maxElements limits the elements of one array or map of a message as a guard
// against hostile lengths.
const maxElements = 1 << 17

var decMode = newDecMode()

func newDecMode() cbor.DecMode {
	// A name that is not UTF-8 must not make the rest of a message unreadable.
	mode, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements, UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err) // The options are constants.
	}
	return mode
}

func marshal(name string, wire any) (raw []byte, err error) {
	defer func() { err = errors.WithMessagef(err, "marshal %s", name) }()
	return cbor.Marshal(wire)
}

func unmarshal[W, V any](name string, raw []byte, fromWire func(W) V) (v V, err error) {
	defer func() { err = errors.WithMessagef(err, "unmarshal %s", name) }()
	var w W
	if err := decMode.Unmarshal(raw, &w); err != nil {
		return v, err
	}
	return fromWire(w), nil
}

func mapSlice[A, B any](in []A, f func(A) B) []B {
	if in == nil {
		return nil
	}
	out := make([]B, len(in))
	for i, a := range in {
		out[i] = f(a)
	}
	return out
}

// setEnum sets an enumeration of another package from its encoded form. It is
// generic because the type has no exported name.
func setEnum[T ~uint8](dst *T, v uint8) { *dst = T(v) }
