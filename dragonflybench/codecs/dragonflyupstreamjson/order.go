package dragonflyupstreamjson

import (
	"encoding/json"

	"dragonflyrelay.example/dragonflybench/values/dragonflyengineevent"
	"github.com/pkg/errors"
)

type wireOrder struct {
	Order string   `json:"order"`
	Group uint64   `json:"group"`
	Fence uint64   `json:"fence"`
	Model string   `json:"model"`
	Rank  int      `json:"rank"`
	Ranks []string `json:"ranks"`
}

// UnmarshalOrder decodes an order of an agent. It returns an error if the order is
// neither load nor unload, or if an order to load lacks a group or a fencing number
// or its rank is not one of its ranks.
func UnmarshalOrder(raw []byte) (ev dragonflyengineevent.Event, err error) {
	defer func() { err = errors.WithMessage(err, "read order") }()
	var w wireOrder
	if err := json.Unmarshal(raw, &w); err != nil {
		return ev, err
	}
	ev = dragonflyengineevent.Event{Group: w.Group, Fence: w.Fence, Model: w.Model, Rank: w.Rank, Ranks: w.Ranks}
	switch w.Order {
	case "load":
		ev.Kind = dragonflyengineevent.Load
		if w.Group == 0 || w.Fence == 0 {
			return ev, errors.New("group and fence must be above 0")
		}
		if w.Rank < 0 || w.Rank >= len(w.Ranks) {
			return ev, errors.Errorf("rank %d is not one of %d ranks", w.Rank, len(w.Ranks))
		}
	case "unload":
		ev.Kind = dragonflyengineevent.Unload
	default:
		return ev, errors.Errorf("order %q is neither load nor unload", w.Order)
	}
	return ev, nil
}
