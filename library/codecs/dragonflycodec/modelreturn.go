package dragonflycodec

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflymodelreturn"
)

type wireModelReturn struct {
	Service string `cbor:"1,keyasint,omitempty"`
	Model   string `cbor:"2,keyasint,omitempty"`
	In      int64  `cbor:"3,keyasint,omitempty"`
}

func modelReturnToWire(r dragonflymodelreturn.Return) wireModelReturn {
	return wireModelReturn{Service: r.Service, Model: r.Model, In: int64(r.In)}
}

func modelReturnFromWire(w wireModelReturn) dragonflymodelreturn.Return {
	return dragonflymodelreturn.Return{Service: w.Service, Model: w.Model, In: dragonflyduration.Duration(w.In)}
}
