package dragonflycodec

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyfollowrequest"
	"dragonflyrelay.example/library/values/dragonflyserverorder"
)

// MarshalFollowRequest returns the CBOR encoding of r.
func MarshalFollowRequest(r dragonflyfollowrequest.Request) ([]byte, error) {
	return marshal("question", followRequestToWire(r))
}

// UnmarshalFollowRequest decodes the output of MarshalFollowRequest. Unknown
// fields are ignored, so that newer processes can add fields; malformed input
// is an error.
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
	// Expected is one more than the number, 0 if there is none.
	Expected uint64 `cbor:"7,keyasint,omitempty"`
}

func serverOrderToWire(o dragonflyserverorder.Order) wireServerOrder {
	w := wireServerOrder{
		Kind: uint8(o.Kind), Group: o.Group, Epoch: o.Epoch, Members: o.Members, Model: o.Model, Fence: o.Fence,
	}
	if o.HasExpected {
		w.Expected = o.Expected + 1
	}
	return w
}

func serverOrderFromWire(w wireServerOrder) dragonflyserverorder.Order {
	o := dragonflyserverorder.Order{Group: w.Group, Epoch: w.Epoch, Members: w.Members, Model: w.Model, Fence: w.Fence}
	if w.Expected > 0 {
		o.Expected, o.HasExpected = w.Expected-1, true
	}
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

	Losses             []wireLoss            `cbor:"10,keyasint,omitempty"`
	Parts              []wirePromptPart      `cbor:"11,keyasint,omitempty"`
	Quarantine         []wireQuarantinedPart `cbor:"12,keyasint,omitempty"`
	QuarantineRevision uint64                `cbor:"13,keyasint,omitempty"`
	Limits             []wireEndpointLimit   `cbor:"14,keyasint,omitempty"`
	LimitsRevision     uint64                `cbor:"15,keyasint,omitempty"`
	Leaving            []wireLeavingUpstream `cbor:"20,keyasint,omitempty"`
	Pauses             []wireUpstreamPause   `cbor:"21,keyasint,omitempty"`
	Dropped            []string              `cbor:"22,keyasint,omitempty"`
	Contacts           []wireContact         `cbor:"23,keyasint,omitempty"`
	Demands            []wireModelDemand     `cbor:"24,keyasint,omitempty"`
}

func followRequestToWire(r dragonflyfollowrequest.Request) wireFollowRequest {
	return wireFollowRequest{
		Process: r.Process, Role: uint8(r.Role), Version: r.Version, Term: r.Term, Revision: r.Revision,
		Wait: int64(r.Wait), Reports: mapSlice(r.Reports, observationToWire), Address: r.Address,
		Order: serverOrderToWire(r.Order), Losses: mapSlice(r.Losses, lossToWire), Parts: mapSlice(r.Parts, promptPartToWire),
		Quarantine: mapSlice(r.Quarantine, quarantinedPartToWire), QuarantineRevision: r.QuarantineRevision,
		Limits: mapSlice(r.Limits, endpointLimitToWire), LimitsRevision: r.LimitsRevision,
		Leaving: mapSlice(r.Leaving, leavingUpstreamToWire), Pauses: mapSlice(r.Pauses, upstreamPauseToWire), Dropped: r.Dropped,
		Contacts: mapSlice(r.Contacts, contactToWire), Demands: mapSlice(r.Demands, modelDemandToWire),
	}
}

func followRequestFromWire(w wireFollowRequest) dragonflyfollowrequest.Request {
	r := dragonflyfollowrequest.Request{
		Process: w.Process, Version: w.Version, Term: w.Term, Revision: w.Revision,
		Wait: dragonflyduration.Duration(w.Wait), Reports: mapSlice(w.Reports, observationFromWire),
		Address: w.Address, Order: serverOrderFromWire(w.Order),
		Losses: mapSlice(w.Losses, lossFromWire), Parts: mapSlice(w.Parts, promptPartFromWire),
		Quarantine: mapSlice(w.Quarantine, quarantinedPartFromWire), QuarantineRevision: w.QuarantineRevision,
		Limits: mapSlice(w.Limits, endpointLimitFromWire), LimitsRevision: w.LimitsRevision,
		Leaving: mapSlice(w.Leaving, leavingUpstreamFromWire), Pauses: mapSlice(w.Pauses, upstreamPauseFromWire), Dropped: w.Dropped,
		Contacts: mapSlice(w.Contacts, contactFromWire), Demands: mapSlice(w.Demands, modelDemandFromWire),
	}
	setEnum(&r.Role, w.Role)
	return r
}
