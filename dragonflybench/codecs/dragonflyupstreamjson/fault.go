package dragonflyupstreamjson

import (
	"encoding/json"
	"fmt"
	"strconv"

	"dragonflyrelay.example/dragonflybench/values/dragonflyengineevent"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"github.com/pkg/errors"
)

type wireFault struct {
	SlowFactor   float64 `json:"slow-factor"`
	TurnCold     bool    `json:"turn-cold"`
	FreezeMS     int64   `json:"freeze-ms"`
	RefuseOrders *bool   `json:"refuse-orders"`
}

// UnmarshalFault decodes the body of POST /faults, which switches faults on and off.
func UnmarshalFault(raw []byte) (ev dragonflyengineevent.Event, err error) {
	defer func() { err = errors.WithMessage(err, "read faults") }()
	var w wireFault
	if err := json.Unmarshal(raw, &w); err != nil {
		return ev, err
	}
	if w.SlowFactor < 0 || w.FreezeMS < 0 {
		return ev, errors.New("slow-factor and freeze-ms must not be negative")
	}
	return dragonflyengineevent.Event{
		Kind: dragonflyengineevent.Fault, SlowPercent: int(w.SlowFactor * 100), TurnCold: w.TurnCold,
		Freeze:       dragonflyduration.Duration(w.FreezeMS) * dragonflyduration.Millisecond,
		RefuseOrders: w.RefuseOrders != nil && *w.RefuseOrders,
		AcceptOrders: w.RefuseOrders != nil && !*w.RefuseOrders,
	}, nil
}

type wireBlocks struct {
	Prompt string   `json:"prompt,omitempty"`
	Blocks []string `json:"blocks"`
}

// UnmarshalBlocks decodes the prompt of an export or the blocks of an import of the
// prefix cache.
func UnmarshalBlocks(raw []byte) (prompt string, blocks []uint64, err error) {
	defer func() { err = errors.WithMessage(err, "read blocks") }()
	var w wireBlocks
	if err := json.Unmarshal(raw, &w); err != nil {
		return "", nil, err
	}
	for _, s := range w.Blocks {
		b, err := strconv.ParseUint(s, 16, 64)
		if err != nil {
			return "", nil, err
		}
		blocks = append(blocks, b)
	}
	return w.Prompt, blocks, nil
}

// MarshalBlocks returns the JSON form that UnmarshalBlocks decodes; a block is
// written as 16 hex digits.
func MarshalBlocks(blocks []uint64) (raw []byte, err error) {
	w := wireBlocks{Blocks: []string{}}
	for _, b := range blocks {
		w.Blocks = append(w.Blocks, BlockName(b))
	}
	return json.Marshal(w)
}

// BlockName returns the hash of a block as 16 hex digits.
func BlockName(block uint64) string { return fmt.Sprintf("%016x", block) }
