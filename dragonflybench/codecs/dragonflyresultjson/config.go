package dragonflyresultjson

import (
	"encoding/json"

	"dragonflyrelay.example/dragonflybench/values/dragonflyconfigresult"
)

type wireConfig struct {
	Note                string        `json:"note"`
	Controls            int           `json:"controls"`
	Agents              int           `json:"agents"`
	Entries             int           `json:"entries"`
	Accept              wireQuantiles `json:"accept"`
	Propagation         wireQuantiles `json:"in-force-everywhere"`
	Missing             int           `json:"changes-not-in-force"`
	PropagationTargetMS float64       `json:"in-force-target-ms"`
	PropagationMet      bool          `json:"in-force-target-met"`
	FailoversMS         []float64     `json:"failovers-ms"`
	FailoverTargetMS    float64       `json:"failover-target-ms"`
	FailoverMet         bool          `json:"failover-target-met"`
}

// MarshalConfig returns the JSON form of r, indented. The note describes the
// command and the state of the machine.
func MarshalConfig(r dragonflyconfigresult.Result, note string) ([]byte, error) {
	w := wireConfig{
		Note: note, Controls: r.Controls, Agents: r.Agents, Entries: r.Entries,
		Accept: quantiles(r.Accept), Propagation: quantiles(r.Propagation), Missing: r.Missing,
		PropagationTargetMS: milliseconds(r.PropagationTarget), PropagationMet: r.PropagationMet(),
		FailoverTargetMS: milliseconds(r.FailoverTarget), FailoverMet: r.FailoverMet(),
	}
	for _, d := range r.Failovers {
		w.FailoversMS = append(w.FailoversMS, milliseconds(d))
	}
	return json.MarshalIndent(w, "", "  ")
}
