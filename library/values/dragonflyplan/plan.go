// Package dragonflyplan is the outcome of the placement.
package dragonflyplan

import (
	"dragonflyrelay.example/library/values/dragonflygroup"
)

// Plan lists the changes that lead from a view to a better one.
type Plan struct {
	// Form lists new groups without id and fence, the most urgent one first.
	Form []dragonflygroup.Group
}
