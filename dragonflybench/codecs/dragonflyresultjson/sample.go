package dragonflyresultjson

import (
	"encoding/json"

	"dragonflyrelay.example/dragonflybench/values/dragonflysample"
	"github.com/pkg/errors"
)

type wireSample struct {
	At          int64            `json:"at"`
	Part        string           `json:"part"`
	Size        int              `json:"size"`
	CPU         int64            `json:"cpu-ns"`
	Resident    int64            `json:"resident-bytes"`
	Heap        int64            `json:"heap-bytes"`
	Goroutines  int              `json:"goroutines"`
	Calls       map[string]int64 `json:"calls,omitempty"`
	BytesIn     int64            `json:"bytes-in"`
	BytesOut    int64            `json:"bytes-out"`
	Connections int64            `json:"connections"`
}

// MarshalSample returns the JSON form of s on one line.
func MarshalSample(s dragonflysample.Sample) (raw []byte, err error) {
	return json.Marshal(wireSample(s))
}

// UnmarshalSample decodes one line of MarshalSample.
func UnmarshalSample(raw []byte) (s dragonflysample.Sample, err error) {
	var w wireSample
	err = json.Unmarshal(raw, &w)
	return dragonflysample.Sample(w), errors.WithMessage(err, "read sample")
}
