package dragonflycodec

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyservice"
)

type wireService struct {
	Name              string   `cbor:"1,keyasint,omitempty"`
	IdempotentMethods []string `cbor:"2,keyasint,omitempty"`
	Timeout           int64    `cbor:"3,keyasint,omitempty"`
}

func serviceToWire(s dragonflyservice.Service) wireService {
	return wireService{
		Name:              s.Name(),
		IdempotentMethods: s.IdempotentMethods(),
		Timeout:           int64(s.Timeout()),
	}
}

func serviceFromWire(w wireService) dragonflyservice.Service {
	return dragonflyservice.Service{}.
		WithName(w.Name).
		WithIdempotentMethods(w.IdempotentMethods).
		WithTimeout(dragonflyduration.Duration(w.Timeout))
}
