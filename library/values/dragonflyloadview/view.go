// Package dragonflyloadview defines the input for choosing the next groups to load.
package dragonflyloadview

import (
	"dragonflyrelay.example/library/values/dragonflyclass"
	"dragonflyrelay.example/library/values/dragonflyformation"
	"dragonflyrelay.example/library/values/dragonflyplacedgroup"
)

// View holds all state that the order of loading depends on.
type View struct {
	// Waiting lists the groups that could start to load now.
	Waiting []dragonflyformation.Formation
	// Groups lists the groups that are serving or loading.
	Groups []dragonflyplacedgroup.Group
	// Classes lists the request classes.
	Classes []dragonflyclass.Class
	// MaxNewLoads is the number of further groups that may start to load now.
	MaxNewLoads int
}
