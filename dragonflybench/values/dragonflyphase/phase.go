// Package dragonflyphase is what the requests of one class met in one phase of an
// experiment.
package dragonflyphase

// Phase sums up the requests of one class that arrived in one phase.
type Phase struct {
	// Name names the phase, Class the class.
	Name, Class string
	// Requests arrived, of which Whole were answered whole, Met within the
	// target, and Refused refused before they ran. Broken counts the others.
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
