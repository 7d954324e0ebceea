package capacity

import "math"

// Point is one measured value at one size.
type Point struct {
	Size  float64
	Value float64
}

// Line is a straight line fitted to measured points.
type Line struct {
	Intercept float64
	// Slope is the growth of the value with each unit of size.
	Slope float64
	// Residual is the largest deviation of a point from the line, relative to the point's value.
	Residual float64
}

// Fit returns the line that minimizes the sum of the squared relative deviations of the points. If all sizes are
// equal, the line is flat. Values must not be zero.
func Fit(points []Point) Line {
	var weights, sizes, values, squares, products float64
	for _, point := range points {
		weight := 1 / (point.Value * point.Value)
		weights += weight
		sizes += weight * point.Size
		values += weight * point.Value
		squares += weight * point.Size * point.Size
		products += weight * point.Size * point.Value
	}
	line := Line{}
	determinant := weights*squares - sizes*sizes
	if determinant > 0 {
		line.Slope = (weights*products - sizes*values) / determinant
	}
	if weights > 0 {
		line.Intercept = (values - line.Slope*sizes) / weights
	}
	for _, point := range points {
		line.Residual = max(line.Residual, math.Abs(line.At(point.Size)-point.Value)/point.Value)
	}
	return line
}

// At returns the value of the line at a size.
func (line Line) At(size float64) float64 {
	return line.Intercept + line.Slope*size
}
