// Package dragonflycoverage decides whether a model without enough groups gets the engines
// of a group of another model. The load that it addresses is the loss of engines beyond the
// spares of their domains: one model loses its last groups while the other keeps all.
package dragonflycoverage

// MinGroups is the least number of groups of a model: with one, the next loss of an engine
// interrupts its service.
const MinGroups = 2

// Coverage is how far a model has the groups that it is to have. The zero Coverage is that
// of a model that is to have none.
type Coverage struct {
	// Groups is the number of groups that serve or form, and Target the planned number.
	Groups, Target int
	// Replacements is the number of further groups that idle engines can form at once, without
	// those of the group in question.
	Replacements int
}

// MayTakeFrom reports whether a model of coverage c gets the engines of one group of a model
// of coverage donor. A group that idle engines replace at once is given to any model that
// lacks one. Otherwise only a model with fewer than MinGroups groups gets one, and the donor
// keeps as many as it then has, and more of its target than it had.
func (c Coverage) MayTakeFrom(donor Coverage) bool {
	if c.Groups >= c.Target || donor.Groups <= 0 {
		return false
	}
	if donor.Replacements > 0 {
		return true
	}
	left := donor.Groups - 1
	return c.Groups < MinGroups && left > c.Groups && left*c.Target > c.Groups*donor.Target
}
