// Package dragonflyplacementview is what the placement plans from.
package dragonflyplacementview

import (
	"dragonflyrelay.example/library/values/dragonflycandidate"
)

// View is everything that a plan depends on.
type View struct {
	// GroupSize is the number of instances of a group, at least 1.
	GroupSize int
	// Free lists the instances that may join a group now, in any order.
	Free []dragonflycandidate.Candidate
}
