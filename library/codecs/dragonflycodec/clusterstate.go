package dragonflycodec

import (
	"dragonflyrelay.example/library/values/dragonflyclusterstate"
)

type wireState struct {
	Config        wireConfig         `cbor:"1,keyasint,omitempty"`
	LastGroup     uint64             `cbor:"2,keyasint,omitempty"`
	LastFence     uint64             `cbor:"3,keyasint,omitempty"`
	Groups        []wireGroup        `cbor:"4,keyasint,omitempty"`
	Claims        []wireClaim        `cbor:"5,keyasint,omitempty"`
	StoredResults []wireStoredResult `cbor:"6,keyasint,omitempty"`
	History       []wireHistory      `cbor:"7,keyasint,omitempty"`
	Version       uint64             `cbor:"8,keyasint,omitempty"`
	Content       []byte             `cbor:"9,keyasint,omitempty"`
	OutZones      []string           `cbor:"10,keyasint,omitempty"`
	Withdrawals   []wireWithdrawal   `cbor:"11,keyasint,omitempty"`
	Opened        []string           `cbor:"12,keyasint,omitempty"`

	Quarantine wireQuarantineRecord `cbor:"13,keyasint,omitempty"`
}

func stateToWire(s dragonflyclusterstate.State) wireState {
	return wireState{
		Config:        configToWire(s.Config),
		LastGroup:     s.LastGroup,
		LastFence:     s.LastFence,
		Groups:        mapSlice(s.Groups, groupToWire),
		Claims:        mapSlice(s.Claims, claimToWire),
		StoredResults: mapSlice(s.StoredResults, storedResultToWire),
		History:       mapSlice(s.History, historyToWire),
		Version:       s.Version,
		Content:       s.Content,
		OutZones:      s.OutZones,
		Withdrawals:   mapSlice(s.Withdrawals, withdrawalToWire),
		Opened:        s.Opened,
		Quarantine:    quarantineRecordToWire(s.Quarantine),
	}
}

func stateFromWire(w wireState) dragonflyclusterstate.State {
	return dragonflyclusterstate.State{
		Config:        configFromWire(w.Config),
		LastGroup:     w.LastGroup,
		LastFence:     w.LastFence,
		Groups:        mapSlice(w.Groups, groupFromWire),
		Claims:        mapSlice(w.Claims, claimFromWire),
		StoredResults: mapSlice(w.StoredResults, storedResultFromWire),
		History:       mapSlice(w.History, historyFromWire),
		Version:       w.Version,
		Content:       w.Content,
		OutZones:      w.OutZones,
		Withdrawals:   mapSlice(w.Withdrawals, withdrawalFromWire),
		Opened:        w.Opened,
		Quarantine:    quarantineRecordFromWire(w.Quarantine),
	}
}
