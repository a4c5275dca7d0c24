package dragonflycodec

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyfollowrequest"
	"dragonflyrelay.example/library/values/dragonflyserverorder"
)

// MarshalFollowRequest returns the CBOR form of q.
func MarshalFollowRequest(q dragonflyfollowrequest.Request) ([]byte, error) {
	return marshal("question", followRequestToWire(q))
}

// UnmarshalFollowRequest reads what MarshalFollowRequest wrote. Unknown fields are ignored,
// so that a newer process can add some; anything malformed is an error.
func UnmarshalFollowRequest(raw []byte) (dragonflyfollowrequest.Request, error) {
	return unmarshal("question", raw, followRequestFromWire)
}

type wireServerOrder struct {
	Kind    uint8    `cbor:"1,keyasint,omitempty"`
	Group   string   `cbor:"2,keyasint,omitempty"`
	Epoch   uint64   `cbor:"3,keyasint,omitempty"`
	Members []string `cbor:"4,keyasint,omitempty"`
	Model   string   `cbor:"5,keyasint,omitempty"`
	Fence   uint64   `cbor:"6,keyasint,omitempty"`
}

func serverOrderToWire(o dragonflyserverorder.Order) wireServerOrder {
	return wireServerOrder{
		Kind: uint8(o.Kind), Group: o.Group, Epoch: o.Epoch, Members: o.Members, Model: o.Model, Fence: o.Fence,
	}
}

func serverOrderFromWire(w wireServerOrder) dragonflyserverorder.Order {
	o := dragonflyserverorder.Order{Group: w.Group, Epoch: w.Epoch, Members: w.Members, Model: w.Model, Fence: w.Fence}
	setEnum(&o.Kind, w.Kind)
	return o
}

type wireFollowRequest struct {
	Process  string            `cbor:"1,keyasint,omitempty"`
	Role     uint8             `cbor:"2,keyasint,omitempty"`
	Version  uint64            `cbor:"3,keyasint,omitempty"`
	Term     uint64            `cbor:"4,keyasint,omitempty"`
	Revision uint64            `cbor:"5,keyasint,omitempty"`
	Wait     int64             `cbor:"6,keyasint,omitempty"`
	Reports  []wireObservation `cbor:"7,keyasint,omitempty"`
	Address  string            `cbor:"8,keyasint,omitempty"`
	Order    wireServerOrder   `cbor:"9,keyasint,omitempty"`
}

func followRequestToWire(q dragonflyfollowrequest.Request) wireFollowRequest {
	return wireFollowRequest{
		Process: q.Process, Role: uint8(q.Role), Version: q.Version, Term: q.Term, Revision: q.Revision,
		Wait: int64(q.Wait), Reports: mapSlice(q.Reports, observationToWire), Address: q.Address,
		Order: serverOrderToWire(q.Order),
	}
}

func followRequestFromWire(w wireFollowRequest) dragonflyfollowrequest.Request {
	q := dragonflyfollowrequest.Request{
		Process: w.Process, Version: w.Version, Term: w.Term, Revision: w.Revision,
		Wait: dragonflyduration.Duration(w.Wait), Reports: mapSlice(w.Reports, observationFromWire),
		Address: w.Address, Order: serverOrderFromWire(w.Order),
	}
	setEnum(&q.Role, w.Role)
	return q
}
