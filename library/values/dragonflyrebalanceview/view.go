// Package dragonflyrebalanceview defines the input for rebalancing groups.
package dragonflyrebalanceview

import (
	"dragonflyrelay.example/library/values/dragonflycandidate"
	"dragonflyrelay.example/library/values/dragonflyplacedgroup"
)

// View holds all state that rebalancing depends on.
type View struct {
	// GroupSize is the number of instances of a group, at least 1.
	GroupSize int
	// CrossDomain reports whether some class may be served by a group that spans
	// several fabric domains.
	CrossDomain bool
	// Groups lists the serving groups in ascending order of ids.
	Groups []dragonflyplacedgroup.Group
	// Free lists the instances that may join a group now, in any order.
	Free []dragonflycandidate.Candidate
}
