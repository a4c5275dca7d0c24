package dragonflycodec

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyorders"
)

// MarshalOrders returns the CBOR encoding of o.
func MarshalOrders(o dragonflyorders.Orders) ([]byte, error) {
	return marshal("orders", ordersToWire(o))
}

// UnmarshalOrders decodes the output of MarshalOrders. Unknown fields are
// ignored, so that newer processes can add fields; malformed input is an error.
func UnmarshalOrders(raw []byte) (dragonflyorders.Orders, error) {
	return unmarshal("orders", raw, ordersFromWire)
}

type wireOrders struct {
	Term            uint64     `cbor:"1,keyasint,omitempty"`
	Config          wireConfig `cbor:"2,keyasint,omitempty"`
	HasConfig       bool       `cbor:"3,keyasint,omitempty"`
	ConfirmationAge int64      `cbor:"4,keyasint,omitempty"`
	Order           wireOrder  `cbor:"5,keyasint,omitempty"`
}

func ordersToWire(o dragonflyorders.Orders) wireOrders {
	return wireOrders{
		Term:            o.Term,
		Config:          configToWire(o.Config),
		HasConfig:       o.HasConfig,
		ConfirmationAge: int64(o.ConfirmationAge),
		Order:           orderToWire(o.Order),
	}
}

func ordersFromWire(w wireOrders) dragonflyorders.Orders {
	return dragonflyorders.Orders{
		Term:            w.Term,
		Config:          configFromWire(w.Config),
		HasConfig:       w.HasConfig,
		ConfirmationAge: dragonflyduration.Duration(w.ConfirmationAge),
		Order:           orderFromWire(w.Order),
	}
}
