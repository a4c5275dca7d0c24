// Package dragonflyformation is a group that could be formed.
package dragonflyformation

import (
	"dragonflyrelay.example/library/values/dragonflymember"
)

// Formation is a group that has not been proposed yet.
type Formation struct {
	// Model names what the group is to serve.
	Model string
	// Members lists the instances in rank order.
	Members []dragonflymember.Member
	// Region and Zone are those of the head; Zone is "" if the group would span
	// several zones.
	Region, Zone string
	// CrossDomain tells that the group would span several fabric domains.
	CrossDomain bool
	// Loads is the number of members that must load their part of the model.
	Loads int
}
