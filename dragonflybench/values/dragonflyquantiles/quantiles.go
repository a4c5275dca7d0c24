// Package dragonflyquantiles holds points of a measured distribution.
package dragonflyquantiles

import "dragonflyrelay.example/library/common/dragonflyduration"

// Quantiles are points of a distribution of times.
type Quantiles struct {
	// Count is the number of samples.
	Count int64
	// P50, P95, P99 and Max are the median, two high percentiles and the maximum.
	P50, P95, P99, Max dragonflyduration.Duration
}
