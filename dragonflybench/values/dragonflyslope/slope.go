// Package dragonflyslope describes the growth of a measured resource usage with the
// number of servers.
package dragonflyslope

// Slope is a line fitted to the usage at several sizes.
type Slope struct {
	// Driver is the part whose number of servers changed, Part the process whose
	// usage was measured, Metric the name of the usage with its unit.
	Driver, Part, Metric string
	// PerServer is the increase for each server, Base the usage without servers.
	PerServer, Base float64
	// Residual is the root mean square distance of the points from the line.
	Residual float64
	// Sizes and Values are the coordinates of the points.
	Sizes, Values []float64
}

// At returns the usage with n servers.
func (s Slope) At(n float64) float64 { return s.Base + s.PerServer*n }
