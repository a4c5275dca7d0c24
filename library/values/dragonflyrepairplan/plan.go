// Package dragonflyrepairplan is what becomes of damaged groups.
package dragonflyrepairplan

import (
	"dragonflyrelay.example/library/values/dragonflyformation"
)

// Plan tells what to do about damaged groups. Groups that are not named are
// waited for.
type Plan struct {
	// Dissolve lists the groups that end, in ascending order of ids.
	Dissolve []uint64
	// Form lists the groups that take their place once their members are free.
	// Survivors keep their ranks, so that only the others load weights.
	Form []dragonflyformation.Formation
}
