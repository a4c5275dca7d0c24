package dragonflycodec

import (
	"dragonflyrelay.example/library/values/dragonflylogentry"
)

type wireEntry struct {
	Index   uint64     `cbor:"1,keyasint,omitempty"`
	Term    uint64     `cbor:"2,keyasint,omitempty"`
	Change  wireChange `cbor:"3,keyasint,omitempty"`
	Members []string   `cbor:"4,keyasint,omitempty"`
}

func entryToWire(e dragonflylogentry.Entry) wireEntry {
	return wireEntry{
		Index:   e.Index,
		Term:    e.Term,
		Change:  changeToWire(e.Change),
		Members: e.Members,
	}
}

func entryFromWire(w wireEntry) dragonflylogentry.Entry {
	return dragonflylogentry.Entry{
		Index:   w.Index,
		Term:    w.Term,
		Change:  changeFromWire(w.Change),
		Members: w.Members,
	}
}
