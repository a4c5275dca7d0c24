// Package dragonflyplan is the outcome of the placement.
package dragonflyplan

import (
	"dragonflyrelay.example/library/values/dragonflyformation"
)

// Plan lists the groups that the free instances of a view can form.
type Plan struct {
	// Form lists the groups in order of model and place. No instance is in two.
	Form []dragonflyformation.Formation
}
