package report

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"math"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"raventrestle/internal/lab"
	"raventrestle/internal/lab/experiment"
)

//go:embed sides.html
var sidesPage string

// spread is a figure over the days of a scenario.
type spread struct{ mean, least, most float64 }

func (s spread) Low() float64  { return s.mean - s.least }
func (s spread) High() float64 { return s.most - s.mean }

// over is the figure's spread, and false if there is no day of the scenario.
func over(days []*lab.Day, scenario string, figure func(*lab.Day) float64) (spread, bool) {
	s, n := spread{least: math.Inf(1), most: math.Inf(-1)}, 0
	for _, d := range days {
		if d.Scenario == scenario && d.Void == "" {
			f := figure(d)
			s.mean, s.least, s.most, n = s.mean+f, min(s.least, f), max(s.most, f), n+1
		}
	}
	s.mean /= float64(max(n, 1))
	return s, n > 0
}

// bars draws a group of bars for each scenario, one for each side, with the span from the least day to
// the most.
func bars(e *experiment.Experiment, r lab.Results, scenarios []string, title string, figure func(*lab.Day) float64) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = title, "share of the worth"
	p.Legend.Top = true
	sides := e.Sides()
	width := vg.Points(max(26-6*float64(len(sides)), 6))
	for i, side := range sides {
		if len(scenarios) == 0 { // nothing was played yet
			break
		}
		var values plotter.Values
		var points plotter.XYs
		var spans plotter.YErrors
		offset := vg.Length(float64(i)-float64(len(sides)-1)/2) * width
		for n, name := range scenarios {
			s, ok := over(r[side], name, figure)
			values = append(values, s.mean)
			if ok {
				points = append(points, plotter.XY{X: float64(n), Y: s.mean})
				spans = append(spans, struct{ Low, High float64 }{s.Low(), s.High()})
			}
		}
		chart, err := plotter.NewBarChart(values, width)
		if err != nil {
			return "", err
		}
		chart.Color, chart.Offset, chart.LineStyle.Width = paints[i%len(paints)], offset, 0
		p.Add(chart)
		p.Legend.Add(side, chart)
		if len(points) == 0 {
			continue
		}
		span, err := plotter.NewYErrorBars(struct {
			plotter.XYer
			plotter.YErrorer
		}{points, spans})
		if err != nil {
			return "", err
		}
		p.Add(&shifted{span, offset})
	}
	if len(scenarios) > 0 {
		p.NominalX(scenarios...)
	}
	p.Y.Min, p.Y.Max = 0, 1.2
	return svg(p, vg.Length(max(len(scenarios), 4))*3.4*vg.Centimeter, 8*vg.Centimeter)
}

// shifted draws the spans where their bars are.
type shifted struct {
	*plotter.YErrorBars
	by vg.Length
}

// Plot is of plot.Plotter.
func (s *shifted) Plot(c draw.Canvas, p *plot.Plot) {
	c.Min.X += s.by
	c.Max.X += s.by
	s.YErrorBars.Plot(c, p)
}

// WriteSides writes the page of an experiment.
func WriteSides(out io.Writer, e *experiment.Experiment, r lab.Results) error {
	t, err := template.New("sides").Parse(sidesPage)
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	var scenarios []string
	for _, days := range r {
		for _, d := range days {
			if !slices.Contains(scenarios, d.Scenario) {
				scenarios = append(scenarios, d.Scenario)
			}
		}
	}
	slices.Sort(scenarios)
	var table strings.Builder
	if err := lab.ResultsTable(&table, e, r); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	lines, words, _ := strings.Cut(table.String(), "\n\n")
	data := struct {
		About  string
		Charts []template.HTML
		Rows   [][]string
		Words  []string
	}{About: e.About, Words: strings.Split(strings.TrimSpace(words), "\n")}
	for i, l := range strings.Split(strings.TrimSpace(lines), "\n") {
		if i == 1 { // the rule under the head
			continue
		}
		var cells []string
		for _, c := range strings.Split(strings.Trim(l, "| "), "|") {
			cells = append(cells, strings.TrimSpace(c))
		}
		data.Rows = append(data.Rows, cells)
	}
	for _, c := range []struct {
		title  string
		figure func(*lab.Day) float64
	}{
		{"Service: mean of the days, from the least to the most", func(d *lab.Day) float64 { return d.Service.Score }},
		{"Worst ten seconds", func(d *lab.Day) float64 { return d.Service.WorstWindow }},
	} {
		chart, err := bars(e, r, scenarios, c.title, c.figure)
		if err != nil {
			return fmt.Errorf("report: %w", err)
		}
		data.Charts = append(data.Charts, chart)
	}
	if err := t.Execute(out, data); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}
