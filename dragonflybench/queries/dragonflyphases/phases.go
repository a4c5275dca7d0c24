// Package dragonflyphases groups the outcomes of a load by phase and class.
package dragonflyphases

import (
	"dragonflyrelay.example/dragonflybench/values/dragonflyoutcome"
	"dragonflyrelay.example/dragonflybench/values/dragonflyphase"
	"dragonflyrelay.example/library/common/dragonflyduration"
)

// Boundary is the start of a phase.
type Boundary struct {
	// Name is the name of the phase.
	Name string
	// From is the start of the phase, measured from the start of the load.
	From dragonflyduration.Duration
}

// Sum returns a Phase for each boundary and class, ordered by boundary and then by
// class. A request belongs to the phase in which it arrived.
func Sum(boundaries []Boundary, classes []string, outcomes []dragonflyoutcome.Outcome) []dragonflyphase.Phase {
	var out []dragonflyphase.Phase
	for i, b := range boundaries {
		for _, class := range classes {
			p := dragonflyphase.Phase{Name: b.Name, Class: class}
			for _, o := range outcomes {
				after := i+1 < len(boundaries) && o.Request.At >= boundaries[i+1].From
				if o.Request.Class == class && o.Request.At >= b.From && !after {
					p = add(p, o)
				}
			}
			out = append(out, p)
		}
	}
	return out
}

func add(p dragonflyphase.Phase, o dragonflyoutcome.Outcome) dragonflyphase.Phase {
	p.Requests++
	switch o.Kind {
	case dragonflyoutcome.Completed:
		p.Completed++
	case dragonflyoutcome.Refused:
		p.Refused++
	default:
		p.Broken++
	}
	if o.MeetsTarget() {
		p.Met++
	}
	return p
}
