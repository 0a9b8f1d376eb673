// Package chart owns pictures and pages: line charts as SVG and PNG, and one page that holds an experiment whole. It must
// never compute a figure that the tables do not hold, and its pages load nothing from outside.
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

// Line is one line of a chart. Low and High, if given, bound each point (a confidence interval).
type Line struct {
	Name      string
	X, Y      []float64
	Low, High []float64
	Dashed    bool
}

// Band marks a span of the x axis, such as an outage.
type Band struct{ From, To float64 }

// Chart is one picture.
type Chart struct {
	Title, XLabel, YLabel string
	Lines                 []Line
	BarLabels             []string // names of the x axis, for bars: each line then is one bar group
	LogX                  bool
	LogY                  bool
	YFromZero             bool // the y axis starts at 0
	Bands                 []Band
}

// palette is Okabe and Ito's, which people with colour blindness can tell apart.
var palette = []color.Color{
	rgb(0, 114, 178), rgb(213, 94, 0), rgb(0, 158, 115), rgb(204, 121, 167), rgb(86, 180, 233), rgb(230, 159, 0), rgb(90, 90, 90),
}

func rgb(r, g, b uint8) color.Color { return color.RGBA{R: r, G: g, B: b, A: 255} }

const width, height = 9 * vg.Inch, 4 * vg.Inch

func (c *Chart) plot() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.Title, c.XLabel, c.YLabel
	p.Title.TextStyle.Font.Size, p.Title.Padding = 14, 6
	p.Legend.Top, p.Legend.Left = true, false
	p.Legend.XOffs, p.Legend.YOffs, p.Legend.Padding = -4, -2, vg.Points(2)
	grid := plotter.NewGrid()
	grid.Vertical.Color, grid.Horizontal.Color = rgb(225, 225, 225), rgb(225, 225, 225)
	p.Add(grid)
	low, high := c.extent()
	for _, b := range c.Bands {
		area, err := plotter.NewPolygon(plotter.XYs{{X: b.From, Y: low}, {X: b.To, Y: low}, {X: b.To, Y: high}, {X: b.From, Y: high}})
		if err != nil {
			return nil, err
		}
		area.Color, area.LineStyle.Width = color.NRGBA{R: 230, G: 190, B: 90, A: 60}, 0
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
	c.scale(p, low, high)
	return p, nil
}

// Empty tells whether the chart has no point to show.
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

// extent is the range of y over all lines, with room above for the legend.
func (c *Chart) extent() (low, high float64) {
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
	room := 0.08 + 0.065*float64(len(c.Lines)) // for the legend
	if c.LogY {
		return low * 0.8, high * math.Pow(high/low, room) * 1.2
	}
	if high == low {
		high = low + 1
	}
	return low, high + room*(high-low)
}

func (c *Chart) scale(p *plot.Plot, low, high float64) {
	p.Y.Min, p.Y.Max = low, high
	if c.Empty() {
		return // nothing to scale, and logarithms need something above 0
	}
	if c.LogX {
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	if c.LogY {
		p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
}

func (c *Chart) addLine(p *plot.Plot, l Line, col color.Color) error {
	var pts plotter.XYs
	var bars plotter.YErrors
	for i := range l.X {
		if math.IsNaN(l.Y[i]) || c.LogY && l.Y[i] <= 0 || c.LogX && l.X[i] <= 0 {
			continue
		}
		pts = append(pts, plotter.XY{X: l.X[i], Y: l.Y[i]})
		if l.Low != nil && !math.IsNaN(l.Low[i]) && !(c.LogY && l.Low[i] <= 0) {
			bars = append(bars, struct{ Low, High float64 }{l.Y[i] - l.Low[i], l.High[i] - l.Y[i]})
		} else {
			bars = append(bars, struct{ Low, High float64 }{})
		}
	}
	if len(pts) == 0 {
		return nil
	}
	line, err := plotter.NewLine(pts)
	if err != nil {
		return err
	}
	line.Color, line.Width = col, vg.Points(1.6)
	if l.Dashed {
		line.Dashes = []vg.Length{vg.Points(5), vg.Points(3)}
	}
	p.Add(line)
	thumbs := []plot.Thumbnailer{line}
	if len(pts) <= 30 {
		dots, err := plotter.NewScatter(pts)
		if err != nil {
			return err
		}
		dots.GlyphStyle = draw.GlyphStyle{Color: col, Radius: vg.Points(2.6), Shape: draw.CircleGlyph{}}
		p.Add(dots)
		thumbs = append(thumbs, dots)
	}
	if l.Low != nil {
		e, err := plotter.NewYErrorBars(struct {
			plotter.XYer
			plotter.YErrorer
		}{pts, bars})
		if err != nil {
			return err
		}
		e.LineStyle.Color = col
		p.Add(e)
	}
	if l.Name != "" {
		p.Legend.Add(l.Name, thumbs...)
	}
	return nil
}

// addBars draws one bar a name for each line, side by side, with its interval.
func (c *Chart) addBars(p *plot.Plot) error {
	w := vg.Points(min(60, 420/float64(max(1, len(c.BarLabels)*len(c.Lines)))))
	for i, l := range c.Lines {
		bars, err := plotter.NewBarChart(plotter.Values(l.Y), w)
		if err != nil {
			return err
		}
		bars.Color, bars.LineStyle.Width = palette[i%len(palette)], 0
		bars.Offset = w * vg.Length(float64(i)-float64(len(c.Lines)-1)/2)
		p.Add(bars)
		if l.Name != "" {
			p.Legend.Add(l.Name, bars)
		}
	}
	p.NominalX(c.BarLabels...)
	low, high := c.extent()
	p.Y.Min, p.Y.Max = min(low, 0), high
	for i, l := range c.Lines {
		if l.Low != nil && len(c.Lines) == 1 {
			if err := addWhiskers(p, l, i); err != nil {
				return err
			}
		}
	}
	return nil
}

func addWhiskers(p *plot.Plot, l Line, _ int) error {
	var pts plotter.XYs
	var bars plotter.YErrors
	for i := range l.Y {
		if math.IsNaN(l.Low[i]) {
			continue
		}
		pts = append(pts, plotter.XY{X: float64(i), Y: l.Y[i]})
		bars = append(bars, struct{ Low, High float64 }{l.Y[i] - l.Low[i], l.High[i] - l.Y[i]})
	}
	if len(pts) == 0 {
		return nil
	}
	e, err := plotter.NewYErrorBars(struct {
		plotter.XYer
		plotter.YErrorer
	}{pts, bars})
	if err == nil {
		p.Add(e)
	}
	return err
}

// Image returns the chart as "svg" or "png".
func (c *Chart) Image(format string) ([]byte, error) {
	p, err := c.plot()
	if err != nil {
		return nil, err
	}
	w, err := p.WriterTo(width, height, format)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	if _, err := w.WriteTo(&out); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// Save writes the chart as NAME.svg and NAME.png into a folder.
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

// FileName turns a title into a file's name.
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
