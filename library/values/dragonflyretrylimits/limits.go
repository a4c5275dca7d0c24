// Package dragonflyretrylimits bounds the repeats of requests.
package dragonflyretrylimits

import "dragonflyrelay.example/library/common/dragonflyduration"

// Limits bound the repeats of all entries together: Ratio repeats for each
// request, and Extra more in any Window.
type Limits struct {
	Ratio  float64
	Extra  float64
	Window dragonflyduration.Duration
}
