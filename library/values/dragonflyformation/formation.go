// Package dragonflyformation defines a group that could be formed.
package dragonflyformation

import (
	"dragonflyrelay.example/library/values/dragonflymember"
)

// Formation is a group that has not been proposed yet.
type Formation struct {
	// Model names the model that the group is to serve.
	Model string
	// Members lists the instances in rank order.
	Members []dragonflymember.Member
	// Region and Zone are the location of the head; Zone is "" if the group would
	// span several zones.
	Region, Zone string
	// CrossDomain reports whether the group would span several fabric domains.
	CrossDomain bool
	// Loads is the number of members that must load their part of the model.
	Loads int
}
