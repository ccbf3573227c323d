// Package scale measures the resource usage of each component of the system as a deployment grows. It emulates a
// cluster on one machine at a series of sizes, with real controllers and a few real agents, fits how the usage
// grows along each axis, and predicts it at a target size.
package scale

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"amberdeal.example/amberdeal/internal/config"
)

// Axis is a dimension along which a deployment grows.
type Axis string

// The axes: workers, teams, controllers, running tasks per worker on average, and requested task starts per second.
const (
	Workers     Axis = "workers"
	Teams       Axis = "teams"
	Controllers Axis = "controllers"
	Tasks       Axis = "tasks"
	Starts      Axis = "starts"
)

// Axes lists the axes in the order in which they are measured.
var Axes = []Axis{Workers, Teams, Controllers, Tasks, Starts}

// maxAxisValue is the largest value that a plan may set on each axis.
var maxAxisValue = map[Axis]float64{Workers: 10_000, Teams: 5000, Controllers: 24, Tasks: 64, Starts: 10_000}

// Point is the size of a deployment: its value on each axis.
type Point map[Axis]float64

// withValue returns a copy of the point with another value on one axis.
func (p Point) withValue(axis Axis, value float64) Point {
	out := make(Point, len(p))
	for a, v := range p {
		out[a] = v
	}
	out[axis] = value
	return out
}

// String returns the name of the point, which is also used in file names.
func (p Point) String() string {
	var words []string
	for _, a := range Axes {
		words = append(words, fmt.Sprintf("%s-%g", a, p[a]))
	}
	return strings.Join(words, "_")
}

// Plan describes a scale run.
type Plan struct {
	Values                                         map[Axis][]float64
	Middle, Target                                 Point
	FillTimeout, MeasureDuration, FailoverDuration time.Duration
	UrgentRate                                     float64 // urgent jobs per second
	ActionsPerAgent                                []int   // for each real agent, the number of actions that it runs at once
	Seed                                           uint64
	State                                          config.Store
}

// DefaultPlan returns the plan whose values apply where a file sets none.
func DefaultPlan() *Plan {
	middle := Point{Workers: 1500, Teams: 100, Controllers: 5, Tasks: 4, Starts: 200}
	return &Plan{
		Values: map[Axis][]float64{Workers: {500, 1500, 4900}, Teams: {5, 100, 530}, Controllers: {3, 5, 24}, Tasks: {1, 4, 8}, Starts: {50, 200, 600, 2400}},
		Middle: middle, Target: Point{Workers: 4900, Teams: 530, Controllers: 24, Tasks: 7.6, Starts: 2400},
		FillTimeout: 100 * time.Second, MeasureDuration: 20 * time.Second, FailoverDuration: 15 * time.Second, UrgentRate: 2, ActionsPerAgent: []int{8, 64}, Seed: 1,
		State: config.Store{RPS: 250, WriteRPS: 30, ValueBytes: 16 << 10, TxnOps: 24},
	}
}

// Steps returns the points to measure: the middle, and the points that differ from it on one axis.
func (p *Plan) Steps() []Point {
	steps := []Point{p.Middle}
	for _, axis := range Axes {
		for _, value := range p.Values[axis] {
			if value != p.Middle[axis] {
				steps = append(steps, p.Middle.withValue(axis, value))
			}
		}
	}
	return steps
}

// planParser parses the values of a plan file and collects all errors.
type planParser struct{ errs []error }

func (r *planParser) addError(key *ini.Key, section, allowed string) {
	r.errs = append(r.errs, fmt.Errorf("[%s] %s: %q: must be %s", section, key.Name(), key.Value(), allowed))
}

// Parse reads a plan file. Its error lists every invalid value.
func Parse(path string) (*Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the plan: %w", err)
	}
	return parse(text)
}

func parse(text []byte) (*Plan, error) {
	file, err := ini.Load(text)
	if err != nil {
		return nil, fmt.Errorf("not a plan's file: %w", err)
	}
	p, r := DefaultPlan(), &planParser{}
	fields := p.fields(r)
	for _, sec := range file.Sections() {
		parseKey := fields[sec.Name()]
		if parseKey == nil && (sec.Name() != ini.DefaultSection || len(sec.Keys()) > 0) {
			r.errs = append(r.errs, fmt.Errorf("[%s]: must be axes, middle, step, state or target", sec.Name()))
			continue
		}
		for _, key := range sec.Keys() {
			parseKey(key)
		}
	}
	return p, errors.Join(r.errs...)
}

// fields returns the function that parses a key, for each section.
func (p *Plan) fields(r *planParser) map[string]func(*ini.Key) {
	return map[string]func(*ini.Key){
		"axes": func(key *ini.Key) {
			if axis, known := r.axis(key, "axes"); known {
				p.Values[axis] = r.values(key, "axes", axis)
			}
		},
		"middle": func(key *ini.Key) { r.point(key, "middle", p.Middle) },
		"target": func(key *ini.Key) { r.point(key, "target", p.Target) },
		"step":   func(key *ini.Key) { p.stepField(r, key) },
		"state":  func(key *ini.Key) { p.stateField(r, key) },
	}
}

func (r *planParser) axis(key *ini.Key, section string) (Axis, bool) {
	axis := Axis(key.Name())
	if !slices.Contains(Axes, axis) {
		r.addError(key, section, "left out; known are workers, teams, controllers, tasks, starts")
		return "", false
	}
	return axis, true
}

func (r *planParser) values(key *ini.Key, section string, axis Axis) []float64 {
	values, err := key.StrictFloat64s(",")
	highest := maxAxisValue[axis]
	if err != nil || len(values) == 0 || slices.Min(values) < 1 || slices.Max(values) > highest {
		r.addError(key, section, fmt.Sprintf("numbers from 1 to %g, separated by commas", highest))
	}
	return values
}

func (r *planParser) point(key *ini.Key, section string, to Point) {
	if axis, known := r.axis(key, section); known {
		value, err := key.Float64()
		if err != nil || value < 1 || value > maxAxisValue[axis] {
			r.addError(key, section, fmt.Sprintf("a number from 1 to %g", maxAxisValue[axis]))
		}
		to[axis] = value
	}
}

func (r *planParser) duration(key *ini.Key, to *time.Duration) {
	value, err := time.ParseDuration(key.Value())
	if *to = value; err != nil || value < time.Second || value > 10*time.Minute {
		r.addError(key, "step", "a duration from 1s to 10m")
	}
}

func (r *planParser) number(key *ini.Key, section string, to *float64, lowest, highest float64) {
	value, err := key.Float64()
	if *to = value; err != nil || value < lowest || value > highest {
		r.addError(key, section, fmt.Sprintf("a number from %g to %g", lowest, highest))
	}
}

func (p *Plan) stepField(r *planParser, key *ini.Key) {
	switch key.Name() {
	case "fill":
		r.duration(key, &p.FillTimeout)
	case "measure":
		r.duration(key, &p.MeasureDuration)
	case "takeover":
		r.duration(key, &p.FailoverDuration)
	case "urgent":
		r.number(key, "step", &p.UrgentRate, 0.1, 100)
	case "agents":
		agents, err := key.StrictInts(",")
		if p.ActionsPerAgent = agents; key.Value() == "" {
			p.ActionsPerAgent = nil
		} else if err != nil || len(agents) > 8 || slices.Min(agents) < 1 || slices.Max(agents) > 64 {
			r.addError(key, "step", "up to 8 counts from 1 to 64, separated by commas")
		}
	case "seed":
		var err error
		if p.Seed, err = key.Uint64(); err != nil {
			r.addError(key, "step", "a count")
		}
	default:
		r.addError(key, "step", "left out; known are fill, measure, takeover, urgent, agents, seed")
	}
}

func (p *Plan) stateField(r *planParser, key *ini.Key) {
	var value float64
	switch key.Name() {
	case "rps":
		r.number(key, "state", &p.State.RPS, 10, 1e6)
	case "write_rps":
		r.number(key, "state", &p.State.WriteRPS, 4, 1e6)
	case "value_kb":
		r.number(key, "state", &value, 4, 1024)
		p.State.ValueBytes = int(value * 1024)
	case "txn_ops":
		r.number(key, "state", &value, 4, 1000)
		p.State.TxnOps = int(value)
	default:
		r.addError(key, "state", "left out; known are rps, write_rps, value_kb, txn_ops")
	}
}
