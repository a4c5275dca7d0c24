// Package dragonflydurationtext reads durations from settings files.
package dragonflydurationtext

import (
	"time"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflysettings"
)

// Parse reads a duration such as 300ms. An empty text means 0; anything else
// that is not a duration of at least 0 is a fault at place.
func Parse(f *dragonflysettings.Faults, place, text string) dragonflyduration.Duration {
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	f.Require(err == nil && d >= 0, place, "is not a duration such as 300ms")
	return dragonflyduration.Duration(d)
}
