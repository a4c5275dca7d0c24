// Package dragonflyphase holds the outcomes of the requests of one class in one phase
// of an experiment.
package dragonflyphase

// Phase is the aggregate of the requests of one class that arrived in one phase.
type Phase struct {
	// Name is the name of the phase, Class that of the class.
	Name, Class string
	// Requests arrived, of which Completed were answered completely, Met met
	// the target, and Refused were refused before they ran. Broken is the number of
	// the others.
	Requests, Completed, Met, Refused, Broken int
}

// MetShare returns the share of requests that met the target, from 0 to 1; 1 if
// there were none.
func (p Phase) MetShare() float64 {
	if p.Requests == 0 {
		return 1
	}
	return float64(p.Met) / float64(p.Requests)
}
