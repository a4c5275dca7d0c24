// Package dragonflyplacementview defines the input of placement.
package dragonflyplacementview

import (
	"dragonflyrelay.example/library/values/dragonflycandidate"
)

// View holds all state that a plan depends on.
type View struct {
	// GroupSize is the number of instances of a group, at least 1.
	GroupSize int
	// CrossDomain reports whether some class may be served by a group that spans
	// several fabric domains.
	CrossDomain bool
	// Free lists the instances that may join a group now, in any order.
	Free []dragonflycandidate.Candidate
	// Spares returns the number of instances in the fabric domain of c that are
	// reserved and not used for groups over several domains. Nil reserves none.
	Spares func(c dragonflycandidate.Candidate) int
}
