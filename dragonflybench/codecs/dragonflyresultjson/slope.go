package dragonflyresultjson

import (
	"encoding/json"

	"dragonflyrelay.example/dragonflybench/values/dragonflyslope"
	"github.com/pkg/errors"
)

type wireSlope struct {
	Driver    string    `json:"driver"`
	Part      string    `json:"part"`
	Metric    string    `json:"metric"`
	PerServer float64   `json:"per-server"`
	Base      float64   `json:"base"`
	Residual  float64   `json:"residual"`
	Sizes     []float64 `json:"sizes"`
	Values    []float64 `json:"values"`
}

// MarshalSlopes returns the JSON form of the slopes, one a line.
func MarshalSlopes(slopes []dragonflyslope.Slope) (raw []byte, err error) {
	defer func() { err = errors.WithMessage(err, "marshal slopes") }()
	for _, s := range slopes {
		line, err := json.Marshal(wireSlope(s))
		if err != nil {
			return nil, err
		}
		raw = append(append(raw, line...), '\n')
	}
	return raw, nil
}

// UnmarshalSlope decodes one line of MarshalSlopes.
func UnmarshalSlope(raw []byte) (s dragonflyslope.Slope, err error) {
	var w wireSlope
	err = json.Unmarshal(raw, &w)
	return dragonflyslope.Slope(w), errors.WithMessage(err, "read slope")
}
