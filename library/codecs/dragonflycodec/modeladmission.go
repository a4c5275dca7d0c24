package dragonflycodec

import "dragonflyrelay.example/library/values/dragonflymodeladmission"

type wireModelAdmission struct {
	Service  string  `cbor:"1,keyasint,omitempty"`
	Model    string  `cbor:"2,keyasint,omitempty"`
	Rank     int     `cbor:"3,keyasint,omitempty"`
	Fraction float64 `cbor:"4,keyasint,omitempty"`
}

func modelAdmissionToWire(a dragonflymodeladmission.Admission) wireModelAdmission {
	return wireModelAdmission{Service: a.Service, Model: a.Model, Rank: a.Rank, Fraction: a.Fraction}
}

func modelAdmissionFromWire(w wireModelAdmission) dragonflymodeladmission.Admission {
	return dragonflymodeladmission.Admission{Service: w.Service, Model: w.Model, Rank: w.Rank, Fraction: w.Fraction}
}
