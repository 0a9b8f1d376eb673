// Package chart draws line and bar charts as SVG and PNG, and builds self-contained HTML pages from charts and tables.
// It must never compute values that its caller did not pass, and its pages must never refer to other files or
// addresses.
package chart

import (
	"bytes"
	"fmt"
	"image/color"
	"math"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// Line is one line of a chart, or one group of bars. Low and High, if not nil, are the ends of an interval around each
// point, such as a confidence interval. Points of a line whose Y is NaN are not drawn; the Y of bars must not be NaN.
type Line struct {
	Name      string
	X, Y      []float64
	Low, High []float64
	Dashed    bool
}

// Band is a shaded span of the x axis, such as an outage.
type Band struct{ From, To float64 }

// Chart is a line chart, or a bar chart if BarLabels is set.
type Chart struct {
	Title, XLabel, YLabel string
	Lines                 []Line
	BarLabels             []string // labels of the x axis; each line then holds one bar for each label
	LogX                  bool
	LogY                  bool
	YFromZero             bool // the y axis starts at 0
	Bands                 []Band
}

// palette is that of Okabe and Ito, whose colours people with colour blindness can tell apart.
var palette = []color.Color{
	rgb(0, 114, 178),
	rgb(213, 94, 0),
	rgb(0, 158, 115),
	rgb(204, 121, 167),
	rgb(86, 180, 233),
	rgb(230, 159, 0),
	rgb(90, 90, 90),
}

func rgb(r, g, b uint8) color.Color { return color.RGBA{R: r, G: g, B: b, A: 255} }

const (
	width  = 9 * vg.Inch
	height = 4 * vg.Inch

	// Space for the legend above the data, as a share of the y range: a base, and a part for each line.
	legendBaseRoom    = 0.08
	legendRoomPerLine = 0.065

	maxDottedPoints = 30 // points of a line are marked by dots only up to this number

	// Bars are up to maxBarWidth wide and share allBarsWidth; both are in points (1/72 inch).
	maxBarWidth  = 60
	allBarsWidth = 420
)

// newPlot returns the chart as a plot that can be rendered.
func (c *Chart) newPlot() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = c.Title
	p.Title.TextStyle.Font.Size = 14
	p.Title.Padding = 6
	p.X.Label.Text = c.XLabel
	p.Y.Label.Text = c.YLabel

	p.Legend.Top = true
	p.Legend.Left = false
	p.Legend.XOffs = -4
	p.Legend.YOffs = -2
	p.Legend.Padding = vg.Points(2)

	grid := plotter.NewGrid()
	grid.Vertical.Color = rgb(225, 225, 225)
	grid.Horizontal.Color = rgb(225, 225, 225)
	p.Add(grid)

	low, high := c.yRange()
	for _, b := range c.Bands {
		corners := plotter.XYs{{X: b.From, Y: low}, {X: b.To, Y: low}, {X: b.To, Y: high}, {X: b.From, Y: high}}
		area, err := plotter.NewPolygon(corners)
		if err != nil {
			return nil, err
		}
		area.Color = color.NRGBA{R: 230, G: 190, B: 90, A: 60}
		area.LineStyle.Width = 0
		p.Add(area)
	}
	if c.BarLabels != nil {
		return p, c.addBars(p)
	}
	for i, l := range c.Lines {
		if err := c.addLine(p, l, palette[i%len(palette)]); err != nil {
			return nil, err
		}
	}
	c.setScales(p, low, high)
	return p, nil
}

// Empty reports whether the chart has no point to draw.
func (c *Chart) Empty() bool {
	for _, l := range c.Lines {
		for _, y := range l.Y {
			if !math.IsNaN(y) {
				return false
			}
		}
	}
	return true
}

// yRange returns the range of the y axis: that of all lines and intervals, with room for the legend above.
func (c *Chart) yRange() (low, high float64) {
	low, high = math.Inf(1), math.Inf(-1)
	for _, l := range c.Lines {
		for _, ys := range [][]float64{l.Y, l.Low, l.High} {
			for _, y := range ys {
				if !math.IsNaN(y) && !(c.LogY && y <= 0) {
					low, high = min(low, y), max(high, y)
				}
			}
		}
	}
	if math.IsInf(low, 1) {
		return 0, 1
	}
	if c.YFromZero {
		low = min(low, 0)
	}
	legendRoom := legendBaseRoom + legendRoomPerLine*float64(len(c.Lines))
	if c.LogY {
		return low * 0.8, high * math.Pow(high/low, legendRoom) * 1.2
	}
	if high == low {
		high = low + 1
	}
	return low, high + legendRoom*(high-low)
}

// setScales sets the range of the y axis and the logarithmic scales.
func (c *Chart) setScales(p *plot.Plot, low, high float64) {
	p.Y.Min, p.Y.Max = low, high
	if c.Empty() {
		return // a logarithmic scale fails without a value above 0
	}
	if c.LogX {
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	if c.LogY {
		p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
}

// addLine adds a line with its intervals, and dots if it has few points. Points that a logarithmic axis cannot show are
// left out.
func (c *Chart) addLine(p *plot.Plot, data Line, lineColor color.Color) error {
	var pts plotter.XYs
	var errorBars plotter.YErrors
	for i := range data.X {
		if math.IsNaN(data.Y[i]) || c.LogY && data.Y[i] <= 0 || c.LogX && data.X[i] <= 0 {
			continue
		}
		pts = append(pts, plotter.XY{X: data.X[i], Y: data.Y[i]})
		if data.Low != nil && !math.IsNaN(data.Low[i]) && !(c.LogY && data.Low[i] <= 0) {
			errorBars = append(errorBars, struct{ Low, High float64 }{data.Y[i] - data.Low[i], data.High[i] - data.Y[i]})
		} else {
			errorBars = append(errorBars, struct{ Low, High float64 }{})
		}
	}
	if len(pts) == 0 {
		return nil
	}
	line, err := plotter.NewLine(pts)
	if err != nil {
		return err
	}
	line.Color = lineColor
	line.Width = vg.Points(1.6)
	if data.Dashed {
		line.Dashes = []vg.Length{vg.Points(5), vg.Points(3)}
	}
	p.Add(line)
	thumbnails := []plot.Thumbnailer{line}
	if len(pts) <= maxDottedPoints {
		dots, err := plotter.NewScatter(pts)
		if err != nil {
			return err
		}
		dots.GlyphStyle = draw.GlyphStyle{
			Color:  lineColor,
			Radius: vg.Points(2.6),
			Shape:  draw.CircleGlyph{},
		}
		p.Add(dots)
		thumbnails = append(thumbnails, dots)
	}
	if data.Low != nil {
		intervals, err := plotter.NewYErrorBars(struct {
			plotter.XYer
			plotter.YErrorer
		}{pts, errorBars})
		if err != nil {
			return err
		}
		intervals.LineStyle.Color = lineColor
		p.Add(intervals)
	}
	if data.Name != "" {
		p.Legend.Add(data.Name, thumbnails...)
	}
	return nil
}

// addBars adds the bars of all lines, side by side for each label. Intervals are drawn only if there is a single line.
func (c *Chart) addBars(p *plot.Plot) error {
	barCount := max(1, len(c.BarLabels)*len(c.Lines))
	barWidth := vg.Points(min(maxBarWidth, allBarsWidth/float64(barCount)))
	for i, l := range c.Lines {
		bars, err := plotter.NewBarChart(plotter.Values(l.Y), barWidth)
		if err != nil {
			return err
		}
		bars.Color = palette[i%len(palette)]
		bars.LineStyle.Width = 0
		bars.Offset = barWidth * vg.Length(float64(i)-float64(len(c.Lines)-1)/2)
		p.Add(bars)
		if l.Name != "" {
			p.Legend.Add(l.Name, bars)
		}
	}
	p.NominalX(c.BarLabels...)
	low, high := c.yRange()
	p.Y.Min, p.Y.Max = min(low, 0), high
	if len(c.Lines) == 1 && c.Lines[0].Low != nil {
		return addErrorBars(p, c.Lines[0])
	}
	return nil
}

// addErrorBars adds the intervals of a single group of bars.
func addErrorBars(p *plot.Plot, data Line) error {
	var pts plotter.XYs
	var errorBars plotter.YErrors
	for i := range data.Y {
		if math.IsNaN(data.Low[i]) {
			continue
		}
		pts = append(pts, plotter.XY{X: float64(i), Y: data.Y[i]})
		errorBars = append(errorBars, struct{ Low, High float64 }{data.Y[i] - data.Low[i], data.High[i] - data.Y[i]})
	}
	if len(pts) == 0 {
		return nil
	}
	intervals, err := plotter.NewYErrorBars(struct {
		plotter.XYer
		plotter.YErrorer
	}{pts, errorBars})
	if err == nil {
		p.Add(intervals)
	}
	return err
}

// Image renders the chart in the given format, "svg" or "png".
func (c *Chart) Image(format string) ([]byte, error) {
	p, err := c.newPlot()
	if err != nil {
		return nil, err
	}
	writer, err := p.WriterTo(width, height, format)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	if _, err := writer.WriteTo(&out); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// Save writes the chart to a folder as NAME.svg and NAME.png.
func (c *Chart) Save(folder, name string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	for _, format := range []string{"svg", "png"} {
		image, err := c.Image(format)
		if err != nil {
			return fmt.Errorf("chart %s: %w", name, err)
		}
		if err := os.WriteFile(filepath.Join(folder, name+"."+format), image, 0o644); err != nil {
			return err
		}
	}
	return nil
}

// FileName turns a title into a file name of lower-case letters, digits and hyphens.
func FileName(title string) string {
	return strings.Trim(strings.Map(func(r rune) rune {
		switch {
		case r >= 'a' && r <= 'z', r >= '0' && r <= '9':
			return r
		case r >= 'A' && r <= 'Z':
			return r + 'a' - 'A'
		}
		return '-'
	}, title), "-")
}
