// Package dragonflycandidate defines an engine instance that placement can choose.
package dragonflycandidate

import (
	"cmp"

	"dragonflyrelay.example/library/values/dragonflymember"
)

// Candidate is an instance that may become a member of a new group.
type Candidate struct {
	// Member names the instance and its addresses.
	Member dragonflymember.Member
	// Region, Zone and Domain are the location of the instance. Equal domain names
	// in different zones are different domains.
	Region, Zone, Domain string
	// Model names the model that its engine can load.
	Model string
	// Accelerators is the number of accelerators of the instance.
	Accelerators int
	// Suspect reports whether the instance has failed or paused recently, so that
	// it is more likely than others to fail again.
	Suspect bool
}

// SameDomain reports whether c and o are in one fabric domain.
func (c Candidate) SameDomain(o Candidate) bool { return c.SameZone(o) && c.Domain == o.Domain }

// SameZone reports whether c and o are in one availability zone.
func (c Candidate) SameZone(o Candidate) bool { return c.Region == o.Region && c.Zone == o.Zone }

// Compare orders candidates by model and location. Within a location, those with
// the most accelerators come first, then those that are not suspect, so that
// groups prefer them.
func Compare(a, b Candidate) int {
	return cmp.Or(
		cmp.Compare(a.Model, b.Model),
		cmp.Compare(a.Region, b.Region),
		cmp.Compare(a.Zone, b.Zone),
		cmp.Compare(a.Domain, b.Domain),
		ComparePreference(a, b),
	)
}

// ComparePreference orders candidates by descending number of accelerators, then
// not suspect before suspect, then by instance id.
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
