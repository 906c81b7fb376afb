package soak

import (
	"image/color"

	"github.com/ansel1/merry/v2"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// WritePlot writes a plot of answered and failed requests over time, with the
// faults, to an SVG file.
func (r *Report) WritePlot(path string) error {
	p := plot.New()
	p.Title.Text = "answered (line), failed (dashes) and faults (marks)"
	p.X.Label.Text = "second"
	p.Y.Label.Text = "requests"
	answered, failed := make(plotter.XYs, len(r.Seconds)), make(plotter.XYs, len(r.Seconds))
	for i, s := range r.Seconds {
		answered[i] = plotter.XY{X: float64(i), Y: float64(s.Answered)}
		failed[i] = plotter.XY{X: float64(i), Y: float64(s.Failed)}
	}
	line, err := plotter.NewLine(answered)
	if err != nil {
		return merry.Prepend(err, "plot")
	}
	dashes, err := plotter.NewLine(failed)
	if err != nil {
		return merry.Prepend(err, "plot")
	}
	dashes.Dashes = []vg.Length{vg.Points(4), vg.Points(2)}
	dashes.Color = color.RGBA{R: 200, A: 255}
	marks := make(plotter.XYs, len(r.Schedule.Faults))
	for i, f := range r.Schedule.Faults {
		marks[i] = plotter.XY{X: f.At.Seconds()}
	}
	p.Add(line, dashes)
	if len(marks) > 0 {
		points, err := plotter.NewScatter(marks)
		if err != nil {
			return merry.Prepend(err, "plot")
		}
		p.Add(points)
	}
	return merry.Prepend(p.Save(20*vg.Centimeter, 8*vg.Centimeter, path), "plot")
}
