package dragonflycodec

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyloss"
	"dragonflyrelay.example/library/values/dragonflypromptpart"
	"dragonflyrelay.example/library/values/dragonflyquarantinedpart"
	"dragonflyrelay.example/library/values/dragonflyquarantinerecord"
)

type wirePromptPart struct {
	ID        string `cbor:"1,keyasint,omitempty"`
	Depth     int    `cbor:"2,keyasint,omitempty"`
	Served    bool   `cbor:"3,keyasint,omitempty"`
	ServedAge int64  `cbor:"4,keyasint,omitempty"`
	Wanted    bool   `cbor:"5,keyasint,omitempty"`
	SentAge   int64  `cbor:"6,keyasint,omitempty"`
}

func promptPartToWire(p dragonflypromptpart.Part) wirePromptPart {
	return wirePromptPart{ID: p.ID, Depth: p.Depth, Served: p.Served, ServedAge: int64(p.ServedAge), Wanted: p.Wanted, SentAge: int64(p.SentAge)}
}

func promptPartFromWire(w wirePromptPart) dragonflypromptpart.Part {
	return dragonflypromptpart.Part{
		ID: w.ID, Depth: w.Depth, Served: w.Served, ServedAge: dragonflyduration.Duration(w.ServedAge), Wanted: w.Wanted,
		SentAge: dragonflyduration.Duration(w.SentAge),
	}
}

type wireLoss struct {
	ID    string           `cbor:"1,keyasint,omitempty"`
	Boot  int64            `cbor:"2,keyasint,omitempty"`
	Age   int64            `cbor:"3,keyasint,omitempty"`
	Parts []wirePromptPart `cbor:"4,keyasint,omitempty"`

	Refused bool `cbor:"5,keyasint,omitempty"`
}

func lossToWire(l dragonflyloss.Loss) wireLoss {
	return wireLoss{ID: l.ID, Boot: l.Boot, Age: int64(l.Age), Parts: mapSlice(l.Parts, promptPartToWire), Refused: l.Refused}
}

func lossFromWire(w wireLoss) dragonflyloss.Loss {
	return dragonflyloss.Loss{
		ID: w.ID, Boot: w.Boot, Age: dragonflyduration.Duration(w.Age), Refused: w.Refused, Parts: mapSlice(w.Parts, promptPartFromWire),
	}
}

type wireQuarantinedPart struct {
	ID        string `cbor:"1,keyasint,omitempty"`
	Since     int64  `cbor:"2,keyasint,omitempty"`
	ProbeIn   int64  `cbor:"3,keyasint,omitempty"`
	Interval  int64  `cbor:"4,keyasint,omitempty"`
	Grant     uint64 `cbor:"5,keyasint,omitempty"`
	GrantLeft int64  `cbor:"6,keyasint,omitempty"`

	Crashes      int   `cbor:"7,keyasint,omitempty"`
	LateCrashes  int   `cbor:"8,keyasint,omitempty"`
	FailedProbes int   `cbor:"9,keyasint,omitempty"`
	LimitAge     int64 `cbor:"10,keyasint,omitempty"`
	LatestAge    int64 `cbor:"11,keyasint,omitempty"`
	Exhausted    bool  `cbor:"12,keyasint,omitempty"`
}

func quarantinedPartToWire(p dragonflyquarantinedpart.Part) wireQuarantinedPart {
	return wireQuarantinedPart{
		ID: p.ID, Since: int64(p.Since), ProbeIn: int64(p.ProbeIn), Interval: int64(p.Interval), Grant: p.Grant,
		GrantLeft: int64(p.GrantLeft), Crashes: p.Crashes, LateCrashes: p.LateCrashes, FailedProbes: p.FailedProbes,
		LimitAge: int64(p.LimitAge), LatestAge: int64(p.LatestAge), Exhausted: p.Exhausted,
	}
}

func quarantinedPartFromWire(w wireQuarantinedPart) dragonflyquarantinedpart.Part {
	return dragonflyquarantinedpart.Part{
		ID: w.ID, Since: dragonflyduration.Duration(w.Since), ProbeIn: dragonflyduration.Duration(w.ProbeIn),
		Interval: dragonflyduration.Duration(w.Interval), Grant: w.Grant, GrantLeft: dragonflyduration.Duration(w.GrantLeft),
		Crashes: w.Crashes, LateCrashes: w.LateCrashes, FailedProbes: w.FailedProbes,
		LimitAge: dragonflyduration.Duration(w.LimitAge), LatestAge: dragonflyduration.Duration(w.LatestAge), Exhausted: w.Exhausted,
	}
}

type wireQuarantineRecord struct {
	Term    uint64                `cbor:"1,keyasint,omitempty"`
	Version uint64                `cbor:"2,keyasint,omitempty"`
	Parts   []wireQuarantinedPart `cbor:"3,keyasint,omitempty"`
	Losses  []wireLoss            `cbor:"4,keyasint,omitempty"`

	Released []string `cbor:"5,keyasint,omitempty"`
	Releases uint64   `cbor:"6,keyasint,omitempty"`
}

func quarantineRecordToWire(r dragonflyquarantinerecord.Record) wireQuarantineRecord {
	return wireQuarantineRecord{
		Term: r.Term, Version: r.Version, Parts: mapSlice(r.Parts, quarantinedPartToWire), Losses: mapSlice(r.Losses, lossToWire),
		Released: r.Released, Releases: r.Releases,
	}
}

func quarantineRecordFromWire(w wireQuarantineRecord) dragonflyquarantinerecord.Record {
	return dragonflyquarantinerecord.Record{
		Term: w.Term, Version: w.Version, Parts: mapSlice(w.Parts, quarantinedPartFromWire), Losses: mapSlice(w.Losses, lossFromWire),
		Released: w.Released, Releases: w.Releases,
	}
}
