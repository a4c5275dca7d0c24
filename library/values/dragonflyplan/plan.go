// Package dragonflyplan defines the result of placement.
package dragonflyplan

import (
	"dragonflyrelay.example/library/values/dragonflyformation"
)

// Plan lists the groups that the free instances of a view can form.
type Plan struct {
	// Form lists the groups ordered by model and location. No instance is in two of
	// them.
	Form []dragonflyformation.Formation
}
