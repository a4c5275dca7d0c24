package dragonflyfit_test

import (
	"testing"

	"dragonflyrelay.example/dragonflybench/queries/dragonflyfit"
	. "github.com/smartystreets/goconvey/convey"
)

// assertLine checks the parameters of a fit, on which extrapolations rely.
func assertLine(f dragonflyfit.Fit, slope, intercept, residual float64) {
	So(f.Slope(), ShouldAlmostEqual, slope, 1e-9)
	So(f.Intercept(), ShouldAlmostEqual, intercept, 1e-9)
	So(f.Residual(), ShouldAlmostEqual, residual, 1e-9)
}

func TestLine(t *testing.T) {
	Convey("Points on a line give that line with a residual of 0", t, func() {
		f := dragonflyfit.Line([]float64{25, 50, 100, 200}, []float64{55, 105, 205, 405})
		assertLine(f, 2, 5, 0)
		So(f.At(3600), ShouldAlmostEqual, 7205, 1e-9)
	})
	Convey("Points off the line give a residual", t, func() {
		assertLine(dragonflyfit.Line([]float64{0, 1, 2, 3}, []float64{1, -1, -1, 1}), 0, 0, 1)
	})
	Convey("Points at one size give a horizontal line", t, func() {
		assertLine(dragonflyfit.Line([]float64{5, 5}, []float64{1, 3}), 0, 2, 1)
	})
}
