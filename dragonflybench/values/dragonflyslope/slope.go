// Package dragonflyslope is how a measured use grows with the number of servers.
package dragonflyslope

// Slope is a line through the uses measured at several sizes.
type Slope struct {
	// Driver names the servers whose number changed, Part the process whose use
	// was measured, Metric the use and its unit.
	Driver, Part, Metric string
	// PerServer is the increase for each server, Base the use without servers.
	PerServer, Base float64
	// Residual is the root mean square distance of the points from the line.
	Residual float64
	// Sizes and Values are the points.
	Sizes, Values []float64
}

// At returns the use with n servers.
func (s Slope) At(n float64) float64 { return s.Base + s.PerServer*n }
