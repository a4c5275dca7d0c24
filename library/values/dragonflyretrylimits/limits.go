// Package dragonflyretrylimits defines the limits on retries of requests.
package dragonflyretrylimits

import "dragonflyrelay.example/library/common/dragonflyduration"

// Limits bound the retries of all entries together: Ratio retries per request,
// and Extra more in any Window.
type Limits struct {
	Ratio  float64
	Extra  float64
	Window dragonflyduration.Duration
}
