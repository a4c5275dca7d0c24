package dragonflyresultjson

import (
	"encoding/json"

	"dragonflyrelay.example/dragonflybench/values/dragonflyphase"
)

type wirePhase struct {
	Phase     string  `json:"phase"`
	Class     string  `json:"class"`
	Requests  int     `json:"requests"`
	Completed int     `json:"whole"`
	Met       int     `json:"met"`
	MetShare  float64 `json:"met-share"`
	Refused   int     `json:"refused-not-run"`
	Broken    int     `json:"broken"`
}

// MarshalPhases returns the JSON form of the phases of an experiment, indented.
// The note describes the command and the state of the machine.
func MarshalPhases(phases []dragonflyphase.Phase, note string) ([]byte, error) {
	w := struct {
		Note   string      `json:"note"`
		Phases []wirePhase `json:"phases"`
	}{Note: note}
	for _, p := range phases {
		w.Phases = append(w.Phases, wirePhase{
			Phase: p.Name, Class: p.Class, Requests: p.Requests, Completed: p.Completed, Met: p.Met,
			MetShare: p.MetShare(), Refused: p.Refused, Broken: p.Broken,
		})
	}
	return json.MarshalIndent(w, "", "  ")
}
