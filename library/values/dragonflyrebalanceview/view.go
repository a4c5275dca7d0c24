// Package dragonflyrebalanceview is what moves to a better placement are decided
// from.
package dragonflyrebalanceview

import (
	"dragonflyrelay.example/library/values/dragonflycandidate"
	"dragonflyrelay.example/library/values/dragonflyplacedgroup"
)

// View is everything that a move depends on.
type View struct {
	// GroupSize is the number of instances of a group, at least 1.
	GroupSize int
	// CrossDomain tells that some class may be served by a group that spans
	// several fabric domains.
	CrossDomain bool
	// Groups lists the groups that serve, in ascending order of ids.
	Groups []dragonflyplacedgroup.Group
	// Free lists the instances that may join a group now, in any order.
	Free []dragonflycandidate.Candidate
}
