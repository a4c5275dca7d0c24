package dragonflyduration_test

import (
	"fmt"
	"math"

	"dragonflyrelay.example/library/common/dragonflyduration"
)

func ExampleFromUnits() {
	for _, n := range []float64{1.5, 0, -2, 1e300, math.Inf(-1), math.NaN()} {
		fmt.Println(dragonflyduration.FromUnits(n, dragonflyduration.Millisecond).Seconds())
	}
	// Output:
	// 0.0015
	// 0
	// -0.002
	// 3.1536e+07
	// -3.1536e+07
	// 0
}
