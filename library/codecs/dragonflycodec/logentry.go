package dragonflycodec

import (
	"dragonflyrelay.example/library/values/dragonflylogentry"
	"dragonflyrelay.example/library/values/dragonflymemberset"
)

type wireEntry struct {
	Index    uint64     `cbor:"1,keyasint,omitempty"`
	Term     uint64     `cbor:"2,keyasint,omitempty"`
	Change   wireChange `cbor:"3,keyasint,omitempty"`
	Members  []string   `cbor:"4,keyasint,omitempty"`
	Outgoing []string   `cbor:"5,keyasint,omitempty"`
}

func entryToWire(e dragonflylogentry.Entry) wireEntry {
	return wireEntry{
		Index:    e.Index,
		Term:     e.Term,
		Change:   changeToWire(e.Change),
		Members:  e.Members.Names(),
		Outgoing: e.Members.Outgoing(),
	}
}

func entryFromWire(w wireEntry) dragonflylogentry.Entry {
	return dragonflylogentry.Entry{
		Index:   w.Index,
		Term:    w.Term,
		Change:  changeFromWire(w.Change),
		Members: dragonflymemberset.New(w.Members...).WithOutgoing(w.Outgoing...),
	}
}
