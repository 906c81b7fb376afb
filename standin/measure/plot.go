package measure

import (
	_ "embed"
	"io"
	"strings"
	"text/template"
)

//go:embed report.svg.tmpl
var svgSource string

var svgTemplate = template.Must(template.New("report").Parse(svgSource))

// The layout of the plot, in pixels.
const (
	panelWidth  = 760
	panelHeight = 190
	panelGap    = 50
	panelLeft   = 70
	panelTop    = 60
	labelWidth  = 330
	barHeight   = 15
)

// colors distinguishes the lines and bars of a panel.
var colors = []string{"#1b6ca8", "#d1495b", "#edae49", "#66a182", "#7d5ba6", "#4f4f4f", "#00a6a6", "#a44a3f"}

// plot is the data of the SVG template.
type plot struct {
	Width, Height int
	Panels        []panel
}

// panel is one chart with a title.
type panel struct {
	Title       string
	X, Y        int
	Width       int
	Height      int
	Lines       []line
	Bars        []bar
	Low, High   string
	Left, Right string
	Legend      []legend
	HasAxis     bool
}

// line is a series converted to the points of an SVG polyline.
type line struct {
	Points string
	Color  string
}

// bar is a labeled bar of a chart.
type bar struct {
	Label  string
	Text   string
	Y      int
	TextY  int
	Length float64
	TextX  float64
	Color  string
}

// legend is the legend entry of a line.
type legend struct {
	Name  string
	Color string
	X, Y  int
}

// WriteSVG writes the report's charts as SVG.
func (r Report) WriteSVG(w io.Writer) error {
	p := plot{Width: panelLeft + panelWidth + panelGap, Height: panelTop}
	for _, next := range r.panels() {
		next.X, next.Y = panelLeft, p.Height
		p.Height += next.Height + panelGap
		p.Panels = append(p.Panels, next)
	}
	return svgTemplate.Execute(w, p)
}

// series is a named sequence of data points.
type series struct {
	name string
	x, y []float64
}

// linePanel returns a line chart of the series.
func linePanel(title string, all []series) panel {
	p := panel{Title: title, Width: panelWidth, Height: panelHeight, HasAxis: true}
	f := rangeOf(all)
	p.Low, p.High = formatNumber(f.lowY), formatNumber(f.highY)
	p.Left, p.Right = formatNumber(f.lowX)+" s", formatNumber(f.highX)+" s"
	for i, s := range all {
		color := colors[i%len(colors)]
		p.Lines = append(p.Lines, line{Points: f.points(s), Color: color})
		p.Legend = append(p.Legend, legend{
			Name:  s.name,
			Color: color,
			X:     8 + i%2*panelWidth/2,
			Y:     panelHeight + 28 + i/2*14,
		})
	}
	p.Height += 14 * (len(all) + 1) / 2
	return p
}

// dataRange is the range of values that a panel shows.
type dataRange struct {
	lowX, highX, lowY, highY float64
}

func rangeOf(all []series) dataRange {
	f := dataRange{}
	first := true
	for _, s := range all {
		for i := range s.x {
			if first {
				f = dataRange{s.x[i], s.x[i], s.y[i], s.y[i]}
				first = false
			}
			f.lowX, f.highX = min(f.lowX, s.x[i]), max(f.highX, s.x[i])
			f.lowY, f.highY = min(f.lowY, s.y[i]), max(f.highY, s.y[i])
		}
	}
	f.highX = max(f.highX, f.lowX+1)
	f.highY = max(f.highY, f.lowY+0.1)
	return f
}

// points converts a series to SVG coordinates within the panel.
func (f dataRange) points(s series) string {
	var b strings.Builder
	for i := range s.x {
		x := (s.x[i] - f.lowX) / (f.highX - f.lowX) * panelWidth
		y := panelHeight - (s.y[i]-f.lowY)/(f.highY-f.lowY)*panelHeight
		b.WriteString(formatNumber(x) + "," + formatNumber(y) + " ")
	}
	return strings.TrimSpace(b.String())
}

// barValue is the input for one bar of a chart.
type barValue struct {
	label string
	value float64
	text  string
	color string
}

// barPanel returns a horizontal bar chart of the values.
func barPanel(title string, all []barValue) panel {
	p := panel{Title: title, Width: panelWidth, Height: barHeight * max(1, len(all))}
	largest := 0.0
	for _, f := range all {
		largest = max(largest, f.value)
	}
	for i, f := range all {
		length := 0.0
		if largest > 0 {
			length = f.value / largest * (panelWidth - labelWidth - 90)
		}
		p.Bars = append(p.Bars, bar{
			Label:  f.label,
			Text:   f.text,
			Y:      i * barHeight,
			TextY:  i*barHeight + barHeight - 4,
			Length: length,
			TextX:  labelWidth + length + 5,
			Color:  f.color,
		})
	}
	return p
}
