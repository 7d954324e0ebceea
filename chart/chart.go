// Package chart draws line charts of values over time and saves them to files.
package chart

import (
	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	_width     = 24 * vg.Centimeter
	_height    = 9 * vg.Centimeter
	_markWidth = vg.Length(1)
)

// Point is a value at a time in seconds.
type Point struct{ Seconds, Value float64 }

// Line is a named series of points.
type Line struct {
	Name   string
	Points []Point
}

// Mark is a labelled time in seconds.
type Mark struct {
	Name    string
	Seconds float64
}

// Chart is a line chart with marks.
type Chart struct {
	Title string
	// Unit is the label of the value axis.
	Unit  string
	Lines []Line
	Marks []Mark
	// Min and Max are the bounds of the value axis. If they are equal, the axis fits the values.
	Min, Max float64
}

// Save writes the chart to a file. The extension selects the format: .svg, .png or .pdf.
func (chart Chart) Save(path string) error {
	drawing := plot.New()
	drawing.Title.Text = chart.Title
	drawing.X.Label.Text = "seconds"
	drawing.Y.Label.Text = chart.Unit
	drawing.Legend.Top = true
	if chart.Min != chart.Max {
		drawing.Y.Min, drawing.Y.Max = chart.Min, chart.Max
	}
	for index, line := range chart.Lines {
		drawn, err := plotter.NewLine(toXYs(line.Points))
		if err != nil {
			return eris.Wrapf(err, "draw %s", line.Name)
		}
		drawn.Color, drawn.Dashes = plotutil.Color(index), plotutil.Dashes(index/len(plotutil.DefaultColors))
		drawing.Add(drawn)
		drawing.Legend.Add(line.Name, drawn)
	}
	if err := chart.drawMarks(drawing); err != nil {
		return err
	}
	return eris.Wrapf(drawing.Save(_width, _height, path), "save the chart; use a name that ends in .svg, .png or .pdf")
}

// drawMarks draws a thin vertical line with a label at each mark.
func (chart Chart) drawMarks(drawing *plot.Plot) error {
	for index, mark := range chart.Marks {
		drawn, err := plotter.NewLine(plotter.XYs{{X: mark.Seconds, Y: drawing.Y.Min}, {X: mark.Seconds, Y: drawing.Y.Max}})
		if err != nil {
			return eris.Wrapf(err, "draw mark %s", mark.Name)
		}
		drawn.Width, drawn.Dashes = _markWidth, plotutil.Dashes(1)
		// Labels of neighbouring marks are at different heights, so that they do not overlap.
		const heights = 5
		share := float64(index%heights) / heights
		labels, err := plotter.NewLabels(plotter.XYLabels{
			XYs:    plotter.XYs{{X: mark.Seconds, Y: drawing.Y.Min + share*(drawing.Y.Max-drawing.Y.Min)}},
			Labels: []string{" " + mark.Name},
		})
		if err != nil {
			return eris.Wrapf(err, "draw mark %s", mark.Name)
		}
		drawing.Add(drawn, labels)
	}
	return nil
}

func toXYs(points []Point) plotter.XYs {
	converted := make(plotter.XYs, len(points))
	for index, point := range points {
		converted[index].X, converted[index].Y = point.Seconds, point.Value
	}
	return converted
}
