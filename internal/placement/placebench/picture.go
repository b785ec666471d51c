//nolint:misspell // The names of the drawing libraries have US spelling.
package placebench

import (
	"fmt"
	"image/color"
	"math"
	"os"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

const (
	pictureWidth  = 30 * vg.Centimeter
	pictureHeight = 34 * vg.Centimeter
	legendHeight  = 2.2 * vg.Centimeter
	legendWidth   = 4.6 * vg.Centimeter
	glyphRadius   = 4
	// logFloor replaces smaller values on logarithmic axes, which cannot show zero.
	logFloor = 0.1
)

// The colours are distinguishable with the common colour vision deficiencies. Each
// policy also has a shape of its own.
var styles = []draw.GlyphStyle{
	{Color: color.RGBA{R: 0xd5, G: 0x5e, A: 0xff}, Shape: draw.CircleGlyph{}},
	{Color: color.RGBA{A: 0xff}, Shape: draw.CrossGlyph{}},
	{Color: color.RGBA{R: 0x56, G: 0xb4, B: 0xe9, A: 0xff}, Shape: draw.SquareGlyph{}},
	{Color: color.RGBA{G: 0x72, B: 0xb2, A: 0xff}, Shape: draw.BoxGlyph{}},
	{Color: color.RGBA{G: 0x9e, B: 0x73, A: 0xff}, Shape: draw.TriangleGlyph{}},
	{Color: color.RGBA{R: 0xcc, G: 0x79, B: 0xa7, A: 0xff}, Shape: draw.PyramidGlyph{}},
}

// WritePicture writes a PNG file with one plot per deployment and metric.
func WritePicture(path string, o Options, results map[ResultKey]*Result) error {
	panels := make([][]*plot.Plot, metricCount)
	for m := range metricCount {
		for _, d := range o.Deployments {
			p, err := panel(d, m, o.Policies, results)
			if err != nil {
				return err
			}
			panels[m] = append(panels[m], p)
		}
	}
	img := vgimg.New(pictureWidth, pictureHeight)
	canvas := draw.New(img)
	drawLegend(draw.Crop(canvas, vg.Centimeter, 0, pictureHeight-legendHeight, 0), o.Policies)
	tiles := draw.Tiles{
		Rows: int(metricCount), Cols: len(o.Deployments), PadX: vg.Centimeter, PadY: vg.Centimeter,
		PadLeft: vg.Centimeter / 2, PadRight: vg.Centimeter / 2, PadBottom: vg.Centimeter / 2,
	}
	for m, row := range plot.Align(panels, tiles, draw.Crop(canvas, 0, 0, 0, -legendHeight)) {
		for c := range row {
			panels[m][c].Draw(row[c])
		}
	}
	f, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "create picture")
	}
	if _, err := (vgimg.PngCanvas{Canvas: img}).WriteTo(f); err != nil {
		_ = f.Close()
		return eris.Wrap(err, "write picture")
	}
	return eris.Wrap(f.Close(), "close picture")
}

func panel(d Deployment, m Metric, policies []Policy, results map[ResultKey]*Result) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s: %s", d.Name, m)
	if m == d.Priority {
		p.Title.Text += " (weighed most)"
	}
	p.BackgroundColor = color.White
	p.NominalX(ScenarioNames()...)
	p.Add(plotter.NewGrid())
	for i, policy := range policies {
		var xy plotter.XYs
		for s, name := range ScenarioNames() {
			v := results[ResultKey{d.Name, name, policy.Name, AllSeeds}].Value(m)
			if m != Imbalance {
				v = max(v, logFloor)
			}
			// Horizontal offsets keep equal values of several policies visible.
			offset := 0.1 * (float64(i) - float64(len(policies)-1)/2)
			xy = append(xy, plotter.XY{X: float64(s) + offset, Y: v})
		}
		sc, err := plotter.NewScatter(xy)
		if err != nil {
			return nil, eris.Wrap(err, "draw panel")
		}
		sc.GlyphStyle = glyph(i)
		p.Add(sc)
	}
	p.X.Min, p.X.Max = -0.5, float64(len(ScenarioNames()))-0.5
	if m == Imbalance {
		p.Y.Min = 1
		p.Y.Max = math.Ceil(10*p.Y.Max) / 10
		return p, nil
	}
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Y.Min = math.Pow(10, math.Floor(math.Log10(p.Y.Min)))
	p.Y.Max = math.Pow(10, math.Ceil(math.Log10(p.Y.Max)))
	return p, nil
}

func glyph(i int) draw.GlyphStyle {
	g := styles[i%len(styles)]
	g.Radius = glyphRadius
	return g
}

func drawLegend(c draw.Canvas, policies []Policy) {
	style := plot.New().Legend.TextStyle
	style.YAlign = draw.YCenter
	y := c.Center().Y + legendHeight/4
	for i, p := range policies {
		x := c.Min.X + vg.Length(i)*legendWidth
		c.DrawGlyph(glyph(i), vg.Point{X: x, Y: y})
		c.FillText(style, vg.Point{X: x + 3*glyphRadius, Y: y}, p.Name)
	}
	note := fmt.Sprintf("Lower is better. %g on a logarithmic axis stands for %g or less.", logFloor, logFloor)
	c.FillText(style, vg.Point{X: c.Min.X, Y: y - legendHeight/2}, note)
}
