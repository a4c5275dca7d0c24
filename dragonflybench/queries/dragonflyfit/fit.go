// Package dragonflyfit fits a line to measured points, to extrapolate from the sizes
// that one machine can run.
package dragonflyfit

import "math"

// Fit is the least-squares line through points. The zero value is the constant 0.
type Fit struct {
	slope, intercept, residual float64
	points                     int
}

// Line fits a line to the points (xs[i], ys[i]). Both slices have the same length.
// Fewer than two different values of x give a horizontal line.
func Line(xs, ys []float64) Fit {
	n := float64(len(xs))
	if n == 0 {
		return Fit{}
	}
	var sx, sy, sxx, sxy float64
	for i, x := range xs {
		sx, sy, sxx, sxy = sx+x, sy+ys[i], sxx+x*x, sxy+x*ys[i]
	}
	f := Fit{intercept: sy / n, points: len(xs)}
	if d := n*sxx - sx*sx; d > 0 {
		f.slope = (n*sxy - sx*sy) / d
		f.intercept = (sy - f.slope*sx) / n
	}
	for i, x := range xs {
		f.residual += (ys[i] - f.At(x)) * (ys[i] - f.At(x))
	}
	f.residual = math.Sqrt(f.residual / n)
	return f
}

// Slope returns the increase for each unit of x.
func (f Fit) Slope() float64 { return f.slope }

// Intercept returns the value at 0.
func (f Fit) Intercept() float64 { return f.intercept }

// Residual returns the root mean square distance of the points from the line, in
// the unit of y.
func (f Fit) Residual() float64 { return f.residual }

// Points returns the number of points.
func (f Fit) Points() int { return f.points }

// At returns the value of the line at x.
func (f Fit) At(x float64) float64 { return f.intercept + f.slope*x }
