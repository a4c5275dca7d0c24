// Package dragonflyrepairplan defines the repair of damaged groups.
package dragonflyrepairplan

import (
	"dragonflyrelay.example/library/values/dragonflyformation"
)

// Plan lists the repairs of damaged groups. Groups that it does not name are left
// to recover.
type Plan struct {
	// Dissolve lists the groups to dissolve in ascending order of ids.
	Dissolve []uint64
	// Form lists the groups that replace them once their members are free.
	// Survivors keep their ranks, so that only the other members load weights.
	Form []dragonflyformation.Formation
}
