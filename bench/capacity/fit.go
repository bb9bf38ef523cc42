package capacity

import "gonum.org/v1/gonum/stat"

// Fit returns the least-squares line through points.
func Fit(points []Point) Line {
	x, y := make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		x[i], y[i] = p.N, p.Value
	}
	base, slope := stat.LinearRegression(x, y, nil, false)
	return Line{Base: base, Slope: slope, Points: points}
}
