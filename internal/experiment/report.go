package experiment

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"amberdeal.example/amberdeal/internal/emulator"
	"amberdeal.example/amberdeal/internal/load"
)

// seedValues holds the values of a metric, one for each seed.
type seedValues struct {
	values []float64
}

func (s seedValues) mean() float64 {
	sum := 0.0
	for _, v := range s.values {
		sum += v
	}
	return sum / float64(len(s.values))
}

// String returns the mean, followed by the minimum and the maximum if there are several values.
func (s seedValues) String() string {
	switch len(s.values) {
	case 0:
		return "-"
	case 1:
		return formatNumber(s.values[0])
	}
	return fmt.Sprintf("%s (%s to %s)", formatNumber(s.mean()), formatNumber(slices.Min(s.values)), formatNumber(slices.Max(s.values)))
}

// formatNumber formats a number with two decimals, one from 10 on, and none from 100 on or if it is an integer.
func formatNumber(v float64) string {
	switch a := math.Abs(v); {
	case a >= 100 || v == math.Trunc(v):
		return fmt.Sprintf("%.0f", v)
	case a >= 10:
		return fmt.Sprintf("%.1f", v)
	}
	return fmt.Sprintf("%.2f", v)
}

// metric is a figure that is compared between settings. Its value is missing for outcomes to which it does not apply.
type metric struct {
	Name  string
	value func(*Outcome) (float64, bool)
}

// row holds the values of a metric for each setting, each but the first followed by the difference from the first.
type row struct {
	Name  string
	Cells []string
}

// resultGroup holds the results of all settings and seeds with one world file and one mix file.
type resultGroup struct {
	Title    string
	Settings []string
	Rows     []row
	Plots    []figure
	Broken   []string // violations and open jobs
}

// figure is a plot with its caption.
type figure struct {
	Title string
	SVG   template.HTML
}

// Report writes a self-contained HTML page with tables and plots. Outcomes of another run, against, are shown beside
// those of this one.
func Report(path string, all, against []*Outcome) error {
	for _, o := range against {
		o.Cell.Settings = "other run: " + o.Cell.Settings
	}
	all = append(slices.Clone(all), against...)
	var keys []string
	outcomesByKey := map[string][]*Outcome{}
	for _, o := range all {
		key := o.Cell.World + " under " + o.Cell.Mix
		if outcomesByKey[key] == nil {
			keys = append(keys, key)
		}
		outcomesByKey[key] = append(outcomesByKey[key], o)
	}
	var groups []resultGroup
	for _, key := range keys {
		g, err := newResultGroup(key, outcomesByKey[key])
		if err != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
		groups = append(groups, g)
	}
	var page bytes.Buffer
	if err := pageTemplate.Execute(&page, groups); err != nil {
		return fmt.Errorf("rendering the report: %w", err)
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return fmt.Errorf("making the directory of the report: %w", err)
	}
	if err := os.WriteFile(path+".part", page.Bytes(), 0o644); err != nil {
		return fmt.Errorf("writing the report: %w", err)
	}
	if err := os.Rename(path+".part", path); err != nil {
		return fmt.Errorf("writing the report: %w", err)
	}
	return nil
}

// newResultGroup computes the rows and draws the plots of a group of outcomes.
func newResultGroup(title string, all []*Outcome) (resultGroup, error) {
	g := resultGroup{Title: title}
	bySettings := map[string][]*Outcome{}
	for _, o := range all {
		s := o.Cell.Settings
		if bySettings[s] == nil {
			g.Settings = append(g.Settings, s)
		}
		bySettings[s] = append(bySettings[s], o)
		for _, violation := range o.Result.Violations {
			g.Broken = append(g.Broken, fmt.Sprintf("%v: %s", o.Cell, violation))
		}
		if n := len(o.Result.Open); n > 0 {
			g.Broken = append(g.Broken, fmt.Sprintf("%v: %d jobs are not over", o.Cell, n))
		}
	}
	if i := slices.Index(g.Settings, noSettings); i > 0 { // the defaults come first: the others are compared with them
		g.Settings = slices.Insert(slices.Delete(g.Settings, i, i+1), 0, noSettings)
	}
	for _, m := range newMetrics(all) {
		g.Rows = append(g.Rows, newRow(m, g.Settings, bySettings))
	}
	for _, x := range []struct {
		title, unit string
		value       func(Sample) float64
		limit       func(*Outcome) float64
	}{
		{"Machines that are up", "machines", func(s Sample) float64 { return float64(s.Up) }, nil},
		{"Tasks on machines", "tasks", func(s Sample) float64 { return float64(s.Running) }, nil},
		{"Cost so far", "price units", func(s Sample) float64 { return s.Cost }, nil},
		{"Changes of the state service", "changes a second", func(s Sample) float64 { return s.Changes }, func(o *Outcome) float64 { return o.WriteRPS }},
		{"Requests to the state service", "requests a second", func(s Sample) float64 { return s.Requests }, func(o *Outcome) float64 { return o.RPS }},
		{"Term", "claims so far", func(s Sample) float64 { return float64(s.FencingToken) }, nil},
	} {
		svg, err := plotSamples(x.unit, g.Settings, bySettings, x.value, x.limit)
		if err != nil {
			return g, fmt.Errorf("plotting %q: %w", x.title, err)
		}
		g.Plots = append(g.Plots, figure{x.title, svg})
	}
	return g, nil
}

// newMetrics returns the metrics of all classes that occur in the outcomes, and those of the whole cluster.
func newMetrics(all []*Outcome) (out []metric) {
	var names []string
	for _, o := range all {
		for _, name := range o.Result.Names() {
			if !slices.Contains(names, name) {
				names = append(names, name)
			}
		}
	}
	for _, name := range names {
		add := func(what string, unit float64, times func(*load.ClassResult) load.Times, quantile func(load.Times) int64) {
			out = append(out, metric{name + ": " + what, func(o *Outcome) (float64, bool) {
				c := o.Result.Classes[name]
				if c == nil || times(c).Count == 0 {
					return 0, false // for example, services never finish
				}
				return float64(quantile(times(c))) / unit, true
			}})
		}
		accept := func(c *load.ClassResult) load.Times { return c.Accept }
		start := func(c *load.ClassResult) load.Times { return c.Start }
		finish := func(c *load.ClassResult) load.Times { return c.Finish }
		p50 := func(t load.Times) int64 { return t.P50 }
		p99 := func(t load.Times) int64 { return t.P99 }
		add("accepted, half within (ms)", 1, accept, p50)
		add("accepted, 99% within (ms)", 1, accept, p99)
		add("seen running, half within (s)", 1000, start, p50)
		add("seen running, 99% within (s)", 1000, start, p99)
		add("seen done, half within (s)", 1000, finish, p50)
	}
	lastSample := func(o *Outcome) Sample {
		if n := len(o.Samples); n > 0 {
			return o.Samples[n-1]
		}
		return Sample{}
	}
	return append(out,
		metric{"all: cost", func(o *Outcome) (float64, bool) { return lastSample(o).Cost, true }},
		metric{"all: claims", func(o *Outcome) (float64, bool) { return float64(lastSample(o).FencingToken), true }},
		metric{"all: most changes a second", func(o *Outcome) (float64, bool) {
			return maxSample(o, func(s Sample) float64 { return s.Changes }), true
		}})
}

// maxSample returns the maximum of a value over the samples of an outcome, at least 0.
func maxSample(o *Outcome, value func(Sample) float64) (m float64) {
	for _, s := range o.Samples {
		m = max(m, value(s))
	}
	return m
}

// newRow returns the values of a metric for each setting, and the differences from the first setting, which are taken
// between outcomes of the same seed.
func newRow(m metric, settings []string, bySettings map[string][]*Outcome) row {
	r := row{Name: m.Name}
	baseBySeed := map[uint64]float64{}
	for i, s := range settings {
		var all, diff seedValues
		for _, o := range bySettings[s] {
			v, ok := m.value(o)
			if !ok {
				continue
			}
			all.values = append(all.values, v)
			if base, known := baseBySeed[o.Cell.Seed]; i > 0 && known {
				diff.values = append(diff.values, v-base)
			} else if i == 0 {
				baseBySeed[o.Cell.Seed] = v
			}
		}
		r.Cells = append(r.Cells, all.String())
		if i > 0 {
			r.Cells = append(r.Cells, diff.String())
		}
	}
	return r
}

// palette lists the colours of the settings in the plots.
var palette = []color.RGBA{{0x1f, 0x77, 0xb4, 0xff}, {0xd9, 0x5f, 0x02, 0xff}, {0x2c, 0x8c, 0x4a, 0xff}, {0x94, 0x4d, 0xc7, 0xff}, {0xb8, 0x8a, 0x00, 0xff}, {0xc2, 0x3b, 0x6b, 0xff}}

// plotSamples draws a value of the samples over time: a line for each cell in the colour of its setting, bands for the
// faults, and a dashed line for the limit, which is left out if it is more than three times the highest value.
func plotSamples(unit string, settings []string, bySettings map[string][]*Outcome, value func(Sample) float64, limit func(*Outcome) float64) (template.HTML, error) {
	p := plot.New()
	p.BackgroundColor = color.Transparent // shows the background of the page, which is light or dark
	p.X.Label.Text, p.Y.Label.Text = "seconds", unit
	p.Y.Min = 0
	p.Legend.Top, p.Legend.Left = true, true
	top := 1.0
	for _, s := range settings {
		for _, o := range bySettings[s] {
			top = max(top, maxSample(o, value))
		}
	}
	first := bySettings[settings[0]][0]
	if len(first.Faults) > 0 {
		if err := addFaultBands(p, first.Faults, top); err != nil {
			return "", err
		}
	}
	for i, s := range settings {
		if err := addCellLines(p, s, palette[i%len(palette)], bySettings[s], value); err != nil {
			return "", err
		}
	}
	if limit != nil {
		if at := limit(first); at <= 3*top {
			if err := addLimitLine(p, first, at); err != nil {
				return "", err
			}
		}
	}
	return renderSVG(p)
}

// addCellLines adds a line for each cell of a setting, all in one colour and with one entry in the legend.
func addCellLines(p *plot.Plot, setting string, colour color.Color, cells []*Outcome, value func(Sample) float64) error {
	for k, o := range cells {
		pts := make(plotter.XYs, len(o.Samples))
		for n, x := range o.Samples {
			pts[n] = plotter.XY{X: x.TimeS, Y: value(x)}
		}
		if len(pts) == 0 {
			continue
		}
		l, err := plotter.NewLine(pts)
		if err != nil {
			return fmt.Errorf("line of %v: %w", o.Cell, err)
		}
		l.Color, l.Width = colour, vg.Points(1.2)
		p.Add(l)
		if k == 0 {
			p.Legend.Add(setting, l)
		}
	}
	return nil
}

// addLimitLine adds a dashed line for a limit, as long as the samples of an outcome.
func addLimitLine(p *plot.Plot, o *Outcome, at float64) error {
	end := 1.0
	if n := len(o.Samples); n > 0 {
		end = o.Samples[n-1].TimeS
	}
	l, err := plotter.NewLine(plotter.XYs{{X: 0, Y: at}, {X: end, Y: at}})
	if err != nil {
		return fmt.Errorf("line of the limit: %w", err)
	}
	l.Dashes, l.Color = []vg.Length{vg.Points(4), vg.Points(3)}, color.RGBA{0xb0, 0x20, 0x20, 0xff}
	p.Add(l)
	p.Legend.Add("limit", l)
	return nil
}

// renderSVG returns a plot as an SVG element for embedding in a page.
func renderSVG(p *plot.Plot) (template.HTML, error) {
	c := vgsvg.New(9*vg.Inch, 2.8*vg.Inch)
	p.Draw(draw.New(c))
	var out bytes.Buffer
	if _, err := c.WriteTo(&out); err != nil {
		return "", fmt.Errorf("writing SVG: %w", err)
	}
	text := out.String()
	if i := strings.Index(text, "<svg"); i > 0 {
		text = text[i:]
	}
	return template.HTML(text), nil //nolint:gosec // generated by vgsvg above
}

// addFaultBands adds a labelled band for the time during which each fault was active.
func addFaultBands(p *plot.Plot, faults []emulator.StagedFault, top float64) error {
	for i, f := range faults {
		until := max(f.Until, f.Since+0.5)
		poly, err := plotter.NewPolygon(plotter.XYs{{X: f.Since, Y: 0}, {X: until, Y: 0}, {X: until, Y: top * 1.05}, {X: f.Since, Y: top * 1.05}})
		if err != nil {
			return fmt.Errorf("band of fault %d: %w", f.Number, err)
		}
		poly.Color, poly.LineStyle.Width = color.RGBA{0xe0, 0xe0, 0xe0, 0xff}, 0
		name := f.Label
		if name == "" {
			name = f.Description
		}
		labels, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: f.Since, Y: top * (0.98 - 0.08*float64(i%3))}}, Labels: []string{" " + name}})
		if err != nil {
			return fmt.Errorf("label of fault %d: %w", f.Number, err)
		}
		p.Add(poly, labels)
	}
	return nil
}

var pageTemplate = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><meta name="viewport" content="width=device-width, initial-scale=1"><title>amberdeal: experiment</title>
<style>
:root{color-scheme:light dark;--ink:#1c1c1c;--paper:#fff;--line:#d5d5d5;--soft:#f4f4f4;--bad:#b02020}
@media (prefers-color-scheme:dark){:root{--ink:#e6e6e6;--paper:#161616;--line:#3a3a3a;--soft:#222;--bad:#ff7b7b}figure svg{filter:invert(1) hue-rotate(180deg)}}
body{font:15px/1.45 system-ui,sans-serif;color:var(--ink);background:var(--paper);margin:2rem auto;max-width:78rem;padding:0 1rem}
table{border-collapse:collapse;margin:1rem 0;font-variant-numeric:tabular-nums;display:block;overflow-x:auto}
th,td{border-bottom:1px solid var(--line);padding:.3rem .7rem;text-align:right;white-space:nowrap}
th:first-child,td:first-child{text-align:left}thead th{background:var(--soft)}
figure{margin:1.2rem 0}figcaption{font-weight:600;margin-bottom:.2rem}figure svg{max-width:100%;height:auto}
.bad{color:var(--bad)}
</style></head><body>
<h1>amberdeal: experiment</h1>
<p>Each figure is the mean over the seeds, with the least and the most; differences are to the first setting, seed by seed. Times count from
when a job was meant to be sent. Grey spans are faults, the dashed line is a limit.</p>
{{range .}}<h2>{{.Title}}</h2>
{{range .Broken}}<p class="bad">{{.}}</p>{{else}}<p>No rule was broken, and every job had its end.</p>{{end}}
<table><thead><tr><th></th>{{range $i, $s := .Settings}}<th>{{$s}}</th>{{if $i}}<th>difference</th>{{end}}{{end}}</tr></thead>
<tbody>{{range .Rows}}<tr><td>{{.Name}}</td>{{range .Cells}}<td>{{.}}</td>{{end}}</tr>
{{end}}</tbody></table>
{{range .Plots}}<figure><figcaption>{{.Title}}</figcaption>{{.SVG}}</figure>
{{end}}{{end}}</body></html>
`))
