// Package dragonflyrepairview defines the input for planning repairs.
package dragonflyrepairview

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflycandidate"
	"dragonflyrelay.example/library/values/dragonflydamagedgroup"
)

// View holds all state that repairs depend on.
type View struct {
	// GroupSize is the number of instances of a group, at least 1.
	GroupSize int
	// Damaged lists the groups that have lost members, in any order.
	Damaged []dragonflydamagedgroup.DamagedGroup
	// Free lists the instances that may join a group now, in any order.
	Free []dragonflycandidate.Candidate
	// LoadTime is the measured time that a group takes to load a model.
	LoadTime dragonflyduration.Duration
}
