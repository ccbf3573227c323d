// Package load generates open-loop load on a running service: jobs are submitted at the times that follow from a mix
// file, however slowly the service responds, and are polled until they end. Latencies count from the time at which a
// job was due to be sent, so that they include the delay of requests that a slow service holds up (no coordinated
// omission).
package load

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"amberdeal.example/amberdeal/wire"
)

// Mix is the content of a mix file, which describes a load.
type Mix struct {
	Seed         uint64
	Duration     time.Duration
	PollInterval time.Duration // interval between two polls of a job
	Classes      []Class
}

// Class describes jobs of one kind and their arrivals.
type Class struct {
	Name          string
	JobsPerMinute float64
	RateCurve     []float64 // factors of the rate for consecutive periods that divide the duration of the load evenly
	Bursts        []Burst
	Tasks         [2]int           // minimum and maximum per job
	RunTime       [2]time.Duration // minimum and maximum
	Cancel        float64          // share of jobs that users cancel while they run
	Template      wire.Job         // what all jobs of the class have in common
}

// Burst multiplies the rate of a class by a factor during a period.
type Burst struct {
	At, Duration time.Duration
	Factor       float64
}

// Arrival is a job and the time at which to submit it, counted from the start of the load.
type Arrival struct {
	At     time.Duration
	Job    *wire.Job
	Cancel time.Duration // time after its acceptance at which the user cancels the job; 0 for never
}

// ParseMix parses a mix file. It returns all errors of an invalid file joined.
func ParseMix(text []byte) (*Mix, error) {
	file, err := ini.Load(text)
	if err != nil {
		return nil, fmt.Errorf("not a mix file: %w", err)
	}
	m := &Mix{Seed: 1, Duration: time.Minute, PollInterval: 5 * time.Second}
	var errs []error
	for _, sec := range file.Sections() {
		name, isClass := strings.CutPrefix(sec.Name(), "class ")
		setKey := m.setKey
		switch {
		case isClass:
			m.Classes = append(m.Classes, newClass(name))
			setKey = m.Classes[len(m.Classes)-1].setKey
		case sec.Name() != "load" && len(sec.Keys()) > 0:
			errs = append(errs, fmt.Errorf("[%s]: must be load or class NAME", sec.Name()))
			continue
		}
		for _, key := range sec.Keys() {
			if allowed := setKey(key.Name(), key.Value()); allowed != "" {
				errs = append(errs, fmt.Errorf("[%s] %s: %q: must be %s", sec.Name(), key.Name(), key.Value(), allowed))
			}
		}
	}
	if len(m.Classes) == 0 {
		errs = append(errs, errors.New("no [class NAME]: must be at least one"))
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	return m, nil
}

// newClass returns a class with the default settings.
func newClass(name string) Class {
	return Class{Name: name, JobsPerMinute: 10, Tasks: [2]int{1, 1}, RunTime: [2]time.Duration{10 * time.Second, 10 * time.Second},
		Template: wire.Job{Class: name, Team: "red", Shape: wire.Array, Priority: wire.Normal, CPUs: 1, GPUs: 1, MemoryGB: 4, Image: "img", ImageGB: 1}}
}

// valueParser returns a function that parses a value, checks it and stores it. That function returns a description of
// the allowed values if it rejects the value, otherwise an empty string; so do those that the other parsers return.
func valueParser[T any](to *T, parse func(string) (T, error), ok func(T) bool, allowed string) func(string) string {
	return func(text string) string {
		v, err := parse(text)
		if err != nil || !ok(v) {
			return allowed
		}
		*to = v
		return ""
	}
}

func amountParser(to *float64, maximum float64) func(string) string {
	return valueParser(to, func(s string) (float64, error) { return strconv.ParseFloat(s, 64) },
		func(v float64) bool { return v >= 0 && v <= maximum && !math.IsNaN(v) }, fmt.Sprintf("a number from 0 to %g", maximum))
}

func durationParser(to *time.Duration, minimum, maximum time.Duration) func(string) string {
	return valueParser(to, time.ParseDuration, func(v time.Duration) bool { return v >= minimum && v <= maximum }, fmt.Sprintf("a duration from %v to %v", minimum, maximum))
}

func choiceParser(to *string, allowed ...string) func(string) string {
	return func(text string) string {
		if *to = text; !slices.Contains(allowed, text) {
			return "one of " + strings.Join(allowed, ", ")
		}
		return ""
	}
}

// setKey passes a value to the parser of its key and returns what is allowed if the key or the value is rejected.
func setKey(parsers map[string]func(string) string, key, value string) string {
	if parse := parsers[key]; parse != nil {
		return parse(value)
	}
	var names []string
	for name := range parsers {
		names = append(names, name)
	}
	sort.Strings(names)
	return "left out; known are " + strings.Join(names, ", ")
}

// setKey sets a field from a key of the section [load].
func (m *Mix) setKey(key, value string) string {
	return setKey(map[string]func(string) string{
		"seed": valueParser(&m.Seed, func(s string) (uint64, error) { return strconv.ParseUint(s, 10, 32) }, func(uint64) bool { return true }, "a count"),
		"for":  durationParser(&m.Duration, time.Second, 24*time.Hour), "poll": durationParser(&m.PollInterval, 100*time.Millisecond, time.Minute)}, key, value)
}

// setKey sets a field from a key of a section [class NAME].
func (c *Class) setKey(key, value string) string {
	j := &c.Template
	shape, priority := string(j.Shape), string(j.Priority)
	defer func() { j.Shape, j.Priority = wire.Shape(shape), wire.Priority(priority) }()
	flag := func(to *bool) func(string) string {
		return func(s string) string {
			if *to = s == "yes"; !*to && s != "no" {
				return "yes or no"
			}
			return ""
		}
	}
	text := func(to *string) func(string) string { return func(s string) string { *to = s; return "" } }
	return setKey(map[string]func(string) string{
		"per_minute": amountParser(&c.JobsPerMinute, 1e6), "curve": c.setCurve, "bursts": c.setBursts, "cancel": amountParser(&c.Cancel, 1),
		"tasks": c.setTasks, "run": c.setRun,
		"team": text(&j.Team), "shape": choiceParser(&shape, string(wire.Array), string(wire.Gang), string(wire.Service)),
		"priority": choiceParser(&priority, string(wire.Production), string(wire.High), string(wire.Normal), string(wire.Low)),
		"cpus":     amountParser(&j.CPUs, 1e5), "gpus": amountParser(&j.GPUs, 1e4), "memory_gb": amountParser(&j.MemoryGB, 1e6), "image": text(&j.Image), "image_gb": amountParser(&j.ImageGB, 1e4),
		"spot": flag(&j.Spot), "one_zone": flag(&j.OneZone), "spread": flag(&j.Spread), "checkpoint_s": amountParser(&j.CheckpointS, 1e5), "save_s": amountParser(&j.SaveS, 1e4)}, key, value)
}

// setCurve parses a curve such as "1, 0.5, 2".
func (c *Class) setCurve(text string) string {
	c.RateCurve = nil
	for _, w := range strings.Split(text, ",") {
		v, err := strconv.ParseFloat(strings.TrimSpace(w), 64)
		if err != nil || v < 0 || v > 1000 {
			return "numbers from 0 to 1000 separated by commas"
		}
		c.RateCurve = append(c.RateCurve, v)
	}
	return ""
}

// setBursts parses bursts such as "30s x3 for 20s, 2m x2 for 1m".
func (c *Class) setBursts(text string) string {
	c.Bursts = nil
	for _, w := range strings.Split(text, ",") {
		f := strings.Fields(w)
		var b Burst
		var errs [3]error
		if len(f) == 4 && f[2] == "for" && strings.HasPrefix(f[1], "x") {
			b.At, errs[0] = time.ParseDuration(f[0])
			b.Factor, errs[1] = strconv.ParseFloat(f[1][1:], 64)
			b.Duration, errs[2] = time.ParseDuration(f[3])
			if errors.Join(errs[:]...) == nil && b.Factor >= 0 && b.Factor <= 1000 {
				c.Bursts = append(c.Bursts, b)
				continue
			}
		}
		return "such as 30s x3 for 20s, 2m x2 for 1m"
	}
	return ""
}

func (c *Class) setTasks(text string) string {
	return parseRange(&c.Tasks, text, strconv.Atoi, 1, wire.MaxTasks, "a count or a range such as 2-8")
}

func (c *Class) setRun(text string) string {
	return parseRange(&c.RunTime, text, time.ParseDuration, 0, 24*time.Hour, "a duration or a range such as 5s-1m")
}

// parseRange parses a single value, or a minimum and a maximum that are joined by a dash.
func parseRange[T cmp.Ordered](to *[2]T, text string, parse func(string) (T, error), minimum, maximum T, allowed string) string {
	first, last, isRange := strings.Cut(text, "-")
	if !isRange {
		last = first
	}
	low, err1 := parse(strings.TrimSpace(first))
	high, err2 := parse(strings.TrimSpace(last))
	if errors.Join(err1, err2) != nil || low < minimum || high < low || high > maximum {
		return fmt.Sprintf("%s, from %v to %v", allowed, minimum, maximum)
	}
	*to = [2]T{low, high}
	return ""
}

// rate returns the arrival rate in jobs per second at a time, for a load of a total duration.
func (c *Class) rate(at, total time.Duration) float64 {
	r := c.JobsPerMinute / 60
	if n := len(c.RateCurve); n > 0 {
		r *= c.RateCurve[min(n-1, int(float64(n)*at.Seconds()/total.Seconds()))]
	}
	for _, b := range c.Bursts {
		if at >= b.At && at < b.At+b.Duration {
			r *= b.Factor
		}
	}
	return r
}

// Arrivals returns all jobs of a mix in the order of their arrival. Arrivals of a class are a Poisson process, the same
// for the same seed. The prefix, which consists of digits, distinguishes the job ids of different runs.
func (m *Mix) Arrivals(prefix string) (out []Arrival) {
	for k := range m.Classes {
		c := &m.Classes[k]
		rng := rand.New(rand.NewPCG(m.Seed, uint64(k)+100))
		maxRate := 0.0
		for at := time.Duration(0); at < m.Duration; at += 100 * time.Millisecond {
			maxRate = max(maxRate, c.rate(at, m.Duration))
		}
		if maxRate == 0 {
			continue
		}
		// Thinning: accept arrivals of a homogeneous process of the maximum rate with probability rate / maxRate.
		for at := 0.0; ; {
			at += rng.ExpFloat64() / maxRate
			when := time.Duration(at * float64(time.Second))
			if when >= m.Duration {
				break
			}
			if rng.Float64()*maxRate < c.rate(when, m.Duration) {
				out = append(out, c.arrival(rng, when, fmt.Sprintf("%s%s%06d", wire.JobIDPrefix, prefix, len(out))))
			}
		}
	}
	sort.SliceStable(out, func(i, k int) bool { return out[i].At < out[k].At })
	return out
}

// arrival returns a job of the class with a random number of tasks and run time.
func (c *Class) arrival(rng *rand.Rand, at time.Duration, id string) Arrival {
	j := c.Template
	j.ID = id
	j.Tasks = c.Tasks[0] + rng.IntN(c.Tasks[1]-c.Tasks[0]+1)
	runTime := c.RunTime[0] + time.Duration(rng.Float64()*float64(c.RunTime[1]-c.RunTime[0]))
	a := Arrival{At: at, Job: &j}
	if j.Shape == wire.Service {
		a.Cancel = max(runTime, time.Second)
	} else if j.EstimateS = runTime.Seconds(); rng.Float64() < c.Cancel {
		a.Cancel = max(time.Second, time.Duration(rng.Float64()*float64(runTime)))
	}
	return a
}
