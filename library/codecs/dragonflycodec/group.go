package dragonflycodec

import (
	"dragonflyrelay.example/library/values/dragonflygroup"
)

// MarshalGroup returns the CBOR encoding of g.
func MarshalGroup(g dragonflygroup.Group) ([]byte, error) { return marshal("group", groupToWire(g)) }

// UnmarshalGroup decodes the output of MarshalGroup. Unknown fields are
// ignored, so that newer processes can add fields; malformed input is an error.
func UnmarshalGroup(raw []byte) (dragonflygroup.Group, error) {
	return unmarshal("group", raw, groupFromWire)
}

type wireGroup struct {
	ID      uint64       `cbor:"1,keyasint,omitempty"`
	Fence   uint64       `cbor:"2,keyasint,omitempty"`
	Model   string       `cbor:"3,keyasint,omitempty"`
	Members []wireMember `cbor:"4,keyasint,omitempty"`
}

func groupToWire(g dragonflygroup.Group) wireGroup {
	return wireGroup{
		ID:      g.ID,
		Fence:   g.Fence,
		Model:   g.Model,
		Members: mapSlice(g.Members, memberToWire),
	}
}

func groupFromWire(w wireGroup) dragonflygroup.Group {
	return dragonflygroup.Group{
		ID:      w.ID,
		Fence:   w.Fence,
		Model:   w.Model,
		Members: mapSlice(w.Members, memberFromWire),
	}
}
