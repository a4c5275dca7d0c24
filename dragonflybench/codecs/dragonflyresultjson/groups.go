package dragonflyresultjson

import (
	"encoding/json"

	"dragonflyrelay.example/dragonflybench/values/dragonflygrouptrial"
	"dragonflyrelay.example/library/common/dragonflyduration"
)

type wireTrial struct {
	Scenario    string  `json:"scenario"`
	Groups      int     `json:"groups"`
	Detected    bool    `json:"detected"`
	DetectionMS float64 `json:"detection-ms"`
	Decided     bool    `json:"decided"`
	DecisionMS  float64 `json:"decision-ms"`
	Met         bool    `json:"target-met"`
	Repaired    bool    `json:"repaired"`
	DowntimeMS  float64 `json:"downtime-without-load-ms"`
	LoadTimeMS  float64 `json:"load-time-ms"`
	Stranded    float64 `json:"stranded-accelerator-seconds"`
	ObservedMS  float64 `json:"observed-ms"`
}

// MarshalTrials returns the JSON form of the trials, indented. The note describes
// the command and the state of the machine; target bounds the sum of detection and
// decision. The time of an event that did not occur is 0.
func MarshalTrials(trials []dragonflygrouptrial.Trial, target dragonflyduration.Duration, note string) ([]byte, error) {
	w := struct {
		Note     string      `json:"note"`
		TargetMS float64     `json:"detection-and-decision-target-ms"`
		Trials   []wireTrial `json:"trials"`
	}{Note: note, TargetMS: milliseconds(target)}
	for _, t := range trials {
		w.Trials = append(w.Trials, wireTrial{
			t.Scenario, t.Groups, t.Detected, milliseconds(t.Detection), t.Decided, milliseconds(t.Decision), t.Met(target),
			t.Repaired, milliseconds(t.Downtime), milliseconds(t.LoadTime), t.Stranded, milliseconds(t.Observed),
		})
	}
	return json.MarshalIndent(w, "", "  ")
}
