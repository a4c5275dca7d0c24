// Package dragonflyquantiles holds quantiles of a measured distribution.
package dragonflyquantiles

import "dragonflyrelay.example/library/common/dragonflyduration"

// Quantiles are quantiles of a distribution of times.
type Quantiles struct {
	// Count is the number of samples.
	Count int64
	// P50, P95 and P99 are the percentiles of these numbers, Max is the maximum.
	P50, P95, P99, Max dragonflyduration.Duration
}
