package dragonflycodec

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyendpoint"
	"dragonflyrelay.example/library/values/dragonflyfollowresponse"
)

// MarshalFollowResponse returns the CBOR encoding of r.
func MarshalFollowResponse(r dragonflyfollowresponse.Response) ([]byte, error) {
	return marshal("news", followResponseToWire(r))
}

// UnmarshalFollowResponse decodes the output of MarshalFollowResponse. Unknown
// fields are ignored, so that newer processes can add fields; malformed input
// is an error.
func UnmarshalFollowResponse(raw []byte) (dragonflyfollowresponse.Response, error) {
	return unmarshal("news", raw, followResponseFromWire)
}

type wireEndpoint struct {
	ID       string `cbor:"1,keyasint,omitempty"`
	Boot     int64  `cbor:"2,keyasint,omitempty"`
	Address  string `cbor:"3,keyasint,omitempty"`
	Service  string `cbor:"4,keyasint,omitempty"`
	Model    string `cbor:"5,keyasint,omitempty"`
	Zone     string `cbor:"6,keyasint,omitempty"`
	Group    string `cbor:"7,keyasint,omitempty"`
	Epoch    uint64 `cbor:"8,keyasint,omitempty"`
	Slots    int    `cbor:"9,keyasint,omitempty"`
	ColdLeft int64  `cbor:"10,keyasint,omitempty"`
	Leaving  bool   `cbor:"11,keyasint,omitempty"`
	Silent   bool   `cbor:"12,keyasint,omitempty"`

	Unreported bool `cbor:"13,keyasint,omitempty"`
}

func endpointToWire(e dragonflyendpoint.Endpoint) wireEndpoint {
	return wireEndpoint{
		ID: e.ID, Boot: e.Boot, Address: e.Address, Service: e.Service, Model: e.Model, Zone: e.Zone,
		Group: e.Group, Epoch: e.Epoch, Slots: e.Slots, ColdLeft: int64(e.ColdLeft), Leaving: e.Leaving,
		Silent: e.Silent, Unreported: e.Unreported,
	}
}

func endpointFromWire(w wireEndpoint) dragonflyendpoint.Endpoint {
	return dragonflyendpoint.Endpoint{
		ID: w.ID, Boot: w.Boot, Address: w.Address, Service: w.Service, Model: w.Model, Zone: w.Zone,
		Group: w.Group, Epoch: w.Epoch, Slots: w.Slots, ColdLeft: dragonflyduration.Duration(w.ColdLeft), Leaving: w.Leaving,
		Silent: w.Silent, Unreported: w.Unreported,
	}
}

type wireFollowResponse struct {
	Leads     bool            `cbor:"1,keyasint,omitempty"`
	Leader    string          `cbor:"2,keyasint,omitempty"`
	Control   []string        `cbor:"3,keyasint,omitempty"`
	Age       int64           `cbor:"4,keyasint,omitempty"`
	Version   uint64          `cbor:"5,keyasint,omitempty"`
	Content   []byte          `cbor:"6,keyasint,omitempty"`
	OutZones  []string        `cbor:"7,keyasint,omitempty"`
	Entries   int             `cbor:"8,keyasint,omitempty"`
	Term      uint64          `cbor:"9,keyasint,omitempty"`
	Revision  uint64          `cbor:"10,keyasint,omitempty"`
	HasTable  bool            `cbor:"11,keyasint,omitempty"`
	Complete  bool            `cbor:"12,keyasint,omitempty"`
	Endpoints []wireEndpoint  `cbor:"13,keyasint,omitempty"`
	Order     wireServerOrder `cbor:"14,keyasint,omitempty"`

	QuarantineRevision uint64                `cbor:"15,keyasint,omitempty"`
	HasQuarantine      bool                  `cbor:"16,keyasint,omitempty"`
	Quarantine         []wireQuarantinedPart `cbor:"17,keyasint,omitempty"`
	LimitsRevision     uint64                `cbor:"18,keyasint,omitempty"`
	HasLimits          bool                  `cbor:"19,keyasint,omitempty"`
	Limits             []wireEndpointLimit   `cbor:"20,keyasint,omitempty"`
	Returns            []wireModelReturn     `cbor:"21,keyasint,omitempty"`
	Admissions         []wireModelAdmission  `cbor:"22,keyasint,omitempty"`
	HasWatched         bool                  `cbor:"23,keyasint,omitempty"`
	Watched            []string              `cbor:"24,keyasint,omitempty"`
}

func followResponseToWire(r dragonflyfollowresponse.Response) wireFollowResponse {
	return wireFollowResponse{
		Leads: r.Leads, Leader: r.Leader, Control: r.Control, Age: int64(r.Age), Version: r.Version,
		Content: r.Content, OutZones: r.OutZones, Entries: r.Entries, Term: r.Term, Revision: r.Revision,
		HasTable: r.HasTable, Complete: r.Complete, Endpoints: mapSlice(r.Endpoints, endpointToWire),
		Order: serverOrderToWire(r.Order), QuarantineRevision: r.QuarantineRevision, HasQuarantine: r.HasQuarantine,
		Quarantine: mapSlice(r.Quarantine, quarantinedPartToWire), LimitsRevision: r.LimitsRevision, HasLimits: r.HasLimits,
		Limits: mapSlice(r.Limits, endpointLimitToWire), Returns: mapSlice(r.Returns, modelReturnToWire),
		Admissions: mapSlice(r.Admissions, modelAdmissionToWire), HasWatched: r.HasWatched, Watched: r.Watched,
	}
}

func followResponseFromWire(w wireFollowResponse) dragonflyfollowresponse.Response {
	return dragonflyfollowresponse.Response{
		Leads: w.Leads, Leader: w.Leader, Control: w.Control, Age: dragonflyduration.Duration(w.Age), Version: w.Version,
		Content: w.Content, OutZones: w.OutZones, Entries: w.Entries, Term: w.Term, Revision: w.Revision,
		HasTable: w.HasTable, Complete: w.Complete, Endpoints: mapSlice(w.Endpoints, endpointFromWire),
		Order: serverOrderFromWire(w.Order), QuarantineRevision: w.QuarantineRevision, HasQuarantine: w.HasQuarantine,
		Quarantine: mapSlice(w.Quarantine, quarantinedPartFromWire), LimitsRevision: w.LimitsRevision, HasLimits: w.HasLimits,
		Limits: mapSlice(w.Limits, endpointLimitFromWire), Returns: mapSlice(w.Returns, modelReturnFromWire),
		Admissions: mapSlice(w.Admissions, modelAdmissionFromWire), HasWatched: w.HasWatched, Watched: w.Watched,
	}
}
