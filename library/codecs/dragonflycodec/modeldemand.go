package dragonflycodec

import "dragonflyrelay.example/library/values/dragonflymodeldemand"

type wireModelDemand struct {
	Service string  `cbor:"1,keyasint,omitempty"`
	Model   string  `cbor:"2,keyasint,omitempty"`
	Rank    int     `cbor:"3,keyasint,omitempty"`
	Work    float64 `cbor:"4,keyasint,omitempty"`
	Refused float64 `cbor:"5,keyasint,omitempty"`
	Delay   float64 `cbor:"6,keyasint,omitempty"`
}

func modelDemandToWire(d dragonflymodeldemand.Demand) wireModelDemand {
	return wireModelDemand{Service: d.Service, Model: d.Model, Rank: d.Rank, Work: d.Work, Refused: d.Refused, Delay: d.Delay}
}

func modelDemandFromWire(w wireModelDemand) dragonflymodeldemand.Demand {
	return dragonflymodeldemand.Demand{Service: w.Service, Model: w.Model, Rank: w.Rank, Work: w.Work, Refused: w.Refused, Delay: w.Delay}
}
