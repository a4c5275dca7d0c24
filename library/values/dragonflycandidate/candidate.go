// Package dragonflycandidate is an engine instance as the placement sees it.
package dragonflycandidate

import (
	"dragonflyrelay.example/library/values/dragonflymember"
)

// Candidate is an instance that may become a member of a new group.
type Candidate struct {
	// Member names the instance and its addresses.
	Member dragonflymember.Member
	// Region, Zone and Domain tell where the instance is.
	Region, Zone, Domain string
	// Model names the model that its engine can load.
	Model string
	// Accelerators is the number of accelerators of the instance.
	Accelerators int
}
