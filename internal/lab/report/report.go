// Package report makes one self-contained HTML page of a folder of days: a table, and for each day
// charts of its series with its troubles shaded.
package report

import (
	"bytes"
	_ "embed"
	"encoding/csv"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"raventrestle/internal/lab"
)

//go:embed report.html
var page string

// Series is a day's time series by the names of its columns.
type Series map[string][]float64

// ReadSeries reads a day's CSV file.
func ReadSeries(in io.Reader) (Series, error) {
	rows, err := csv.NewReader(in).ReadAll()
	if err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	if len(rows) == 0 {
		return nil, fmt.Errorf("report: no head line")
	}
	s := Series{}
	for n, row := range rows[1:] {
		for i, name := range rows[0] {
			v, err := strconv.ParseFloat(row[i], 64)
			if err != nil {
				return nil, fmt.Errorf("report: line %d, %s: %w", n+2, name, err)
			}
			s[name] = append(s[name], v)
		}
	}
	return s, nil
}

// Day is a day with its series.
type Day struct {
	*lab.Day
	Series Series
}

// line is one curve of a chart.
type line struct {
	column, label string
	paint         color.Color
	dashes        []vg.Length
}

var (
	blue   = color.RGBA{0x1f, 0x5f, 0xa8, 0xff}
	green  = color.RGBA{0x2e, 0x8b, 0x57, 0xff}
	red    = color.RGBA{0xb2, 0x22, 0x22, 0xff}
	ochre  = color.RGBA{0xb8, 0x86, 0x0b, 0xff}
	shade  = color.RGBA{0xf4, 0xd9, 0xc6, 0xff}
	paints = []color.Color{blue, green, red, ochre, color.RGBA{0x6a, 0x3d, 0x9a, 0xff}, color.RGBA{0x55, 0x55, 0x55, 0xff}}
)

// chart draws curves over the seconds of a day as SVG.
func chart(d Day, title, unit string, lines []line) (template.HTML, error) {
	p, err := picture(d, title, unit, lines)
	if err != nil {
		return "", err
	}
	return svg(p, 22*vg.Centimeter, 6.5*vg.Centimeter)
}

// svg draws the plot for a page.
func svg(p *plot.Plot, width, height vg.Length) (template.HTML, error) {
	canvas := vgsvg.New(width, height)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	text := out.String()
	if i := strings.Index(text, "<svg"); i > 0 { // inside a page there is no XML head
		text = text[i:]
	}
	return template.HTML(text), nil
}

// picture has the curves, the day's troubles shaded and its restarts marked.
func picture(d Day, title, unit string, lines []line) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "s", unit
	p.Y.Min, p.X.Min = 0, 0
	p.Legend.Top = true
	top, last := 1.0, 1.0
	for _, l := range lines {
		for i, v := range d.Series[l.column] {
			top, last = max(top, v), max(last, float64(i))
		}
	}
	top *= 1.15
	for _, t := range d.Troubles {
		from, to := t.At.Seconds(), min((t.At+t.For).Seconds(), last)
		area, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: 0}, {X: from, Y: top}, {X: to, Y: top}, {X: to, Y: 0}})
		if err != nil {
			return nil, err
		}
		area.Color, area.LineStyle.Width = shade, 0
		p.Add(area)
	}
	for _, r := range d.Restarts {
		mark, err := plotter.NewLine(plotter.XYs{{X: r.At.Seconds(), Y: 0}, {X: r.At.Seconds(), Y: top}})
		if err != nil {
			return nil, err
		}
		mark.Color, mark.Dashes = color.Gray{0x88}, []vg.Length{vg.Points(2), vg.Points(3)}
		p.Add(mark)
	}
	for _, l := range lines {
		var points plotter.XYs
		for i, v := range d.Series[l.column] {
			points = append(points, plotter.XY{X: float64(i), Y: v})
		}
		if len(points) == 0 {
			continue
		}
		curve, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		curve.Color, curve.Width, curve.Dashes = l.paint, vg.Points(1.2), l.dashes
		p.Add(curve)
		p.Legend.Add(l.label, curve)
	}
	p.Y.Max, p.X.Max = top, last
	return p, nil
}

// memory has a curve for each courier.
func memory(d Day) []line {
	var lines []line
	for _, name := range slices.Sorted(maps.Keys(d.Series)) {
		if who, found := strings.CutSuffix(name, "_rss_mb"); found {
			lines = append(lines, line{name, who, paints[len(lines)%len(paints)], nil})
		}
	}
	return lines
}

type view struct {
	Day
	Service, Channels, Memory template.HTML
}

// Write writes the page.
func Write(out io.Writer, title string, days []Day) error {
	t, err := template.New("report").Funcs(template.FuncMap{
		"f3":   func(x float64) string { return fmt.Sprintf("%.3f", x) },
		"join": strings.Join,
	}).Parse(page)
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	data := struct {
		Title string
		Days  []view
	}{Title: title}
	for _, d := range days {
		v := view{Day: d}
		for _, c := range []struct {
			to          *template.HTML
			title, unit string
			lines       []line
		}{
			{&v.Service, "Messages", "a second", []line{
				{"taken", "taken on", blue, nil},
				{"delivered", "delivered", green, nil},
				{"deferred", "deferred", ochre, nil},
				{"undeliverable", "undeliverable", red, nil},
			}},
			{&v.Channels, "Calls at the channels", "a second", []line{
				{"calls", "calls", blue, nil},
				{"effects", "effects", green, nil},
				{"callsrefused", "refused", red, nil},
				{"resends", "resends", ochre, nil},
			}},
			{&v.Memory, "Memory of the couriers", "MB (RSS)", memory(d)},
		} {
			if *c.to, err = chart(d, c.title, c.unit, c.lines); err != nil {
				return fmt.Errorf("report: %s, seed %d: %w", d.Scenario, d.Seed, err)
			}
		}
		data.Days = append(data.Days, v)
	}
	if err := t.Execute(out, data); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}
