// Package dragonflycandidate is an engine instance as the placement sees it.
package dragonflycandidate

import (
	"cmp"

	"dragonflyrelay.example/library/values/dragonflymember"
)

// Candidate is an instance that may become a member of a new group.
type Candidate struct {
	// Member names the instance and its addresses.
	Member dragonflymember.Member
	// Region, Zone and Domain tell where the instance is. Equal domain names in
	// different zones are different domains.
	Region, Zone, Domain string
	// Model names the model that its engine can load.
	Model string
	// Accelerators is the number of accelerators of the instance.
	Accelerators int
	// Suspect tells that the instance has failed or paused a short time ago and
	// is more likely than others to fail again.
	Suspect bool
}

// SameDomain reports whether c and o are in one fabric domain.
func (c Candidate) SameDomain(o Candidate) bool { return c.SameZone(o) && c.Domain == o.Domain }

// SameZone reports whether c and o are in one availability zone.
func (c Candidate) SameZone(o Candidate) bool { return c.Region == o.Region && c.Zone == o.Zone }

// Compare orders candidates by model and place. Within a place it puts first
// those that a group should take first: the ones with the most accelerators, then
// the ones that are not suspect.
func Compare(a, b Candidate) int {
	return cmp.Or(
		cmp.Compare(a.Model, b.Model),
		cmp.Compare(a.Region, b.Region),
		cmp.Compare(a.Zone, b.Zone),
		cmp.Compare(a.Domain, b.Domain),
		ComparePreference(a, b),
	)
}

// ComparePreference puts first the candidate that a group should take first.
func ComparePreference(a, b Candidate) int {
	suspect := func(c Candidate) int {
		if c.Suspect {
			return 1
		}
		return 0
	}
	return cmp.Or(
		cmp.Compare(b.Accelerators, a.Accelerators),
		cmp.Compare(suspect(a), suspect(b)),
		cmp.Compare(a.Member.Instance, b.Member.Instance),
	)
}
