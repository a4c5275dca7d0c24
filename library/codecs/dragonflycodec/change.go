package dragonflycodec

import (
	"dragonflyrelay.example/library/values/dragonflychange"
)

// MarshalChange returns the CBOR encoding of c.
func MarshalChange(c dragonflychange.Change) ([]byte, error) {
	return marshal("change", changeToWire(c))
}

// UnmarshalChange decodes the output of MarshalChange. Unknown fields are
// ignored, so that newer processes can add fields; malformed input is an error.
func UnmarshalChange(raw []byte) (dragonflychange.Change, error) {
	return unmarshal("change", raw, changeFromWire)
}

type wireChange struct {
	ID          string         `cbor:"1,keyasint,omitempty"`
	Kind        uint8          `cbor:"2,keyasint,omitempty"`
	Operator    string         `cbor:"3,keyasint,omitempty"`
	At          int64          `cbor:"4,keyasint,omitempty"`
	Base        uint64         `cbor:"5,keyasint,omitempty"`
	Class       wireClass      `cbor:"6,keyasint,omitempty"`
	Workspace   wireWorkspace  `cbor:"7,keyasint,omitempty"`
	Service     wireService    `cbor:"8,keyasint,omitempty"`
	Zone        wireZone       `cbor:"9,keyasint,omitempty"`
	GroupSize   int            `cbor:"10,keyasint,omitempty"`
	Group       uint64         `cbor:"11,keyasint,omitempty"`
	Model       string         `cbor:"12,keyasint,omitempty"`
	Members     []wireMember   `cbor:"13,keyasint,omitempty"`
	ClaimKey    string         `cbor:"14,keyasint,omitempty"`
	Fingerprint string         `cbor:"15,keyasint,omitempty"`
	Owner       string         `cbor:"16,keyasint,omitempty"`
	Outcome     string         `cbor:"17,keyasint,omitempty"`
	Status      int            `cbor:"18,keyasint,omitempty"`
	Headers     [][2]string    `cbor:"19,keyasint,omitempty"`
	Body        []byte         `cbor:"20,keyasint,omitempty"`
	Version     uint64         `cbor:"21,keyasint,omitempty"`
	Content     []byte         `cbor:"22,keyasint,omitempty"`
	ZoneName    string         `cbor:"23,keyasint,omitempty"`
	Seen        uint64         `cbor:"24,keyasint,omitempty"`
	Withdrawal  wireWithdrawal `cbor:"25,keyasint,omitempty"`
	Opened      []string       `cbor:"26,keyasint,omitempty"`

	Quarantine *wireQuarantineRecord `cbor:"27,keyasint,omitempty"`
	Key        string                `cbor:"28,keyasint,omitempty"`
}

func changeToWire(c dragonflychange.Change) wireChange {
	w := wireChange{
		ID:          c.ID,
		Kind:        uint8(c.Kind),
		Operator:    c.Operator,
		At:          c.At,
		Base:        c.Base,
		Class:       classToWire(c.Class),
		Workspace:   workspaceToWire(c.Workspace),
		Service:     serviceToWire(c.Service),
		Zone:        zoneToWire(c.Zone),
		GroupSize:   c.GroupSize,
		Group:       c.Group,
		Model:       c.Model,
		Members:     mapSlice(c.Members, memberToWire),
		ClaimKey:    c.ClaimKey,
		Fingerprint: c.Fingerprint,
		Owner:       c.Owner,
		Outcome:     c.Outcome,
		Status:      c.Status,
		Headers:     c.Headers,
		Body:        c.Body,
		Version:     c.Version,
		Content:     c.Content,
		ZoneName:    c.ZoneName,
		Seen:        c.Seen,
		Withdrawal:  withdrawalToWire(c.Withdrawal),
		Opened:      c.Opened,
		Key:         c.Key,
	}
	if c.Kind == dragonflychange.RecordQuarantine {
		r := quarantineRecordToWire(c.Quarantine)
		w.Quarantine = &r
	}
	return w
}

func changeFromWire(w wireChange) dragonflychange.Change {
	c := dragonflychange.Change{
		ID:          w.ID,
		Operator:    w.Operator,
		At:          w.At,
		Base:        w.Base,
		Class:       classFromWire(w.Class),
		Workspace:   workspaceFromWire(w.Workspace),
		Service:     serviceFromWire(w.Service),
		Zone:        zoneFromWire(w.Zone),
		GroupSize:   w.GroupSize,
		Group:       w.Group,
		Model:       w.Model,
		Members:     mapSlice(w.Members, memberFromWire),
		ClaimKey:    w.ClaimKey,
		Fingerprint: w.Fingerprint,
		Owner:       w.Owner,
		Outcome:     w.Outcome,
		Status:      w.Status,
		Headers:     w.Headers,
		Body:        w.Body,
		Version:     w.Version,
		Content:     w.Content,
		ZoneName:    w.ZoneName,
		Seen:        w.Seen,
		Withdrawal:  withdrawalFromWire(w.Withdrawal),
		Opened:      w.Opened,
		Key:         w.Key,
	}
	setEnum(&c.Kind, w.Kind)
	if w.Quarantine != nil {
		c.Quarantine = quarantineRecordFromWire(*w.Quarantine)
	}
	return c
}
