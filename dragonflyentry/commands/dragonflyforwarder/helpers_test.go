package dragonflyforwarder_test

import (
	"time"

	"dragonflyrelay.example/library/common/dragonflyduration"
)

func durationOf(d time.Duration) dragonflyduration.Duration { return dragonflyduration.Duration(d) }
