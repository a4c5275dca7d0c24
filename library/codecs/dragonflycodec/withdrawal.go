package dragonflycodec

import "dragonflyrelay.example/library/values/dragonflywithdrawal"

type wireWithdrawal struct {
	Group   string   `cbor:"1,keyasint,omitempty"`
	Epoch   uint64   `cbor:"2,keyasint,omitempty"`
	Engines []string `cbor:"3,keyasint,omitempty"`
}

func withdrawalToWire(f dragonflywithdrawal.Withdrawal) wireWithdrawal {
	return wireWithdrawal{Group: f.Group, Epoch: f.Epoch, Engines: f.Engines}
}

func withdrawalFromWire(w wireWithdrawal) dragonflywithdrawal.Withdrawal {
	return dragonflywithdrawal.Withdrawal{Group: w.Group, Epoch: w.Epoch, Engines: w.Engines}
}
