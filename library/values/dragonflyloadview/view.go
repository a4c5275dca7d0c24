// Package dragonflyloadview is what the order of loading is decided from.
package dragonflyloadview

import (
	"dragonflyrelay.example/library/values/dragonflyclass"
	"dragonflyrelay.example/library/values/dragonflyformation"
	"dragonflyrelay.example/library/values/dragonflyplacedgroup"
)

// View is everything that the order of loading depends on.
type View struct {
	// Waiting lists the groups that could start to load now.
	Waiting []dragonflyformation.Formation
	// Groups lists the groups that serve or load.
	Groups []dragonflyplacedgroup.Group
	// Classes lists the classes of work.
	Classes []dragonflyclass.Class
	// MaxNewLoads is how many more groups may load at the same time.
	MaxNewLoads int
}
