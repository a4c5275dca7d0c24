// Package dragonflyplacementview is what the placement plans from.
package dragonflyplacementview

import (
	"dragonflyrelay.example/library/values/dragonflycandidate"
)

// View is everything that a plan depends on.
type View struct {
	// GroupSize is the number of instances of a group, at least 1.
	GroupSize int
	// CrossDomain tells that some class may be served by a group that spans
	// several fabric domains.
	CrossDomain bool
	// Free lists the instances that may join a group now, in any order.
	Free []dragonflycandidate.Candidate
	// Spares returns how many instances the fabric domain of c keeps back from
	// groups over several domains. Nil keeps none.
	Spares func(c dragonflycandidate.Candidate) int
}
