package dragonflycodec

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflycontact"
)

type wireContact struct {
	ID  string `cbor:"1,keyasint,omitempty"`
	Age int64  `cbor:"2,keyasint,omitempty"`
}

func contactToWire(c dragonflycontact.Contact) wireContact {
	return wireContact{ID: c.ID, Age: int64(c.Age)}
}

func contactFromWire(w wireContact) dragonflycontact.Contact {
	return dragonflycontact.Contact{ID: w.ID, Age: dragonflyduration.Duration(w.Age)}
}
