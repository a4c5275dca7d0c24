package dragonflycodec

import (
	"dragonflyrelay.example/library/values/dragonflygrouporder"
)

type wireOrder struct {
	Kind    uint8        `cbor:"1,keyasint,omitempty"`
	Group   uint64       `cbor:"2,keyasint,omitempty"`
	Fence   uint64       `cbor:"3,keyasint,omitempty"`
	Model   string       `cbor:"4,keyasint,omitempty"`
	Members []wireMember `cbor:"5,keyasint,omitempty"`
}

func orderToWire(o dragonflygrouporder.Order) wireOrder {
	return wireOrder{
		Kind:    uint8(o.Kind),
		Group:   o.Group,
		Fence:   o.Fence,
		Model:   o.Model,
		Members: mapSlice(o.Members, memberToWire),
	}
}

func orderFromWire(w wireOrder) dragonflygrouporder.Order {
	o := dragonflygrouporder.Order{
		Group:   w.Group,
		Fence:   w.Fence,
		Model:   w.Model,
		Members: mapSlice(w.Members, memberFromWire),
	}
	setEnum(&o.Kind, w.Kind)
	return o
}
