// Package experiment runs a matrix of clusters, loads, settings and seeds, each cell in an
// emulated cluster of its own with real controllers. It keeps the outcome of each cell in a file,
// so that an interrupted run resumes where it stopped, and writes two columnar files and a report.
package experiment

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/parquet-go/parquet-go"
	"golang.org/x/sync/errgroup"
	"gopkg.in/ini.v1"

	"amberdeal.example/amberdeal/internal/emulator"
	"amberdeal.example/amberdeal/internal/load"
	"amberdeal.example/amberdeal/internal/outcomefile"
	"amberdeal.example/amberdeal/internal/transport"
)

// Plan describes an experiment. Files are named as in the experiment's file, relative to it.
type Plan struct {
	Dir      string // of the experiment's file
	Worlds   []string
	Mixes    []string
	Settings []string // operators' files; noSettings for the defaults
	Seeds    []uint64
	Parallel int
	Port     int
	Wait     time.Duration
}

// noSettings stands in a plan and a cell for the defaults, without an operators' file.
const noSettings = "none"

// Cell is one run.
type Cell struct {
	World    string `json:"world" parquet:"world,dict"`
	Mix      string `json:"mix" parquet:"mix,dict"`
	Settings string `json:"settings" parquet:"settings,dict"`
	Seed     uint64 `json:"seed" parquet:"seed"`
}

func (c Cell) fileName() string {
	clean := func(s string) string {
		return strings.Map(func(r rune) rune {
			if strings.ContainsRune(`/\ .`, r) {
				return '-'
			}
			return r
		}, s)
	}
	return fmt.Sprintf("cell-%s-%s-%s-%d.json", clean(c.World), clean(c.Mix), clean(c.Settings), c.Seed)
}

func (c Cell) String() string {
	return fmt.Sprintf("%s, %s, %s, seed %d", c.World, c.Mix, c.Settings, c.Seed)
}

// Sample is the state of a cluster at one second.
type Sample struct {
	Cell
	TimeS        float64 `json:"t_s" parquet:"t_s"`
	Machines     int     `json:"machines" parquet:"machines"`
	Up           int     `json:"up" parquet:"up"`
	Running      int     `json:"running" parquet:"tasks_running"`
	Cost         float64 `json:"cost" parquet:"cost"`
	Requests     float64 `json:"requests_s" parquet:"state_requests_s"`
	Changes      float64 `json:"changes_s" parquet:"state_changes_s"`
	FencingToken uint64  `json:"term" parquet:"term"`
}

// ClassRow is the result of a class of jobs in a cell, in milliseconds.
type ClassRow struct {
	Cell
	Class     string `parquet:"class,dict"`
	Jobs      int    `parquet:"jobs"`
	Accepted  int    `parquet:"accepted"`
	Refused   int    `parquet:"refused"`
	GivenUp   int    `parquet:"given_up"`
	Done      int    `parquet:"done"`
	Cancelled int    `parquet:"cancelled"`
	AcceptP50 int64  `parquet:"accept_p50_ms"`
	AcceptP99 int64  `parquet:"accept_p99_ms"`
	StartP50  int64  `parquet:"start_p50_ms"`
	StartP99  int64  `parquet:"start_p99_ms"`
	FinishP50 int64  `parquet:"finish_p50_ms"`
	FinishP99 int64  `parquet:"finish_p99_ms"`
}

// Outcome is the result of a cell.
type Outcome struct {
	Cell     Cell                   `json:"cell"`
	Result   *load.Result           `json:"result"`
	Samples  []Sample               `json:"samples"`
	Faults   []emulator.StagedFault `json:"faults"`
	RPS      float64                `json:"state_rps"`
	WriteRPS float64                `json:"state_write_rps"`
}

// Parse reads an experiment's file and reports everything that is wrong with it and with the files
// that it names.
func Parse(path string) (*Plan, error) {
	file, err := ini.Load(path)
	if err != nil {
		return nil, fmt.Errorf("reading the experiment: %w", err)
	}
	p := &Plan{Dir: filepath.Dir(path), Settings: []string{noSettings}, Seeds: []uint64{1}, Parallel: 1, Port: 12080, Wait: 2 * time.Minute}
	var faults []error
	for _, sec := range file.Sections() {
		for _, key := range sec.Keys() {
			if sec.Name() != "experiment" {
				faults = append(faults, fmt.Errorf("[%s]: must be experiment", sec.Name()))
			} else if allowed := p.setKey(key); allowed != "" {
				faults = append(faults, fmt.Errorf("[experiment] %s: %q: must be %s", key.Name(), key.Value(), allowed))
			}
		}
	}
	return p, errors.Join(append(faults, p.checkFiles()...)...)
}

// setKey sets a field from its key in the file; if the value is rejected it returns what is allowed.
func (p *Plan) setKey(key *ini.Key) (allowed string) {
	var err error
	switch key.Name() {
	case "worlds":
		p.Worlds = key.Strings(",")
	case "mixes":
		p.Mixes = key.Strings(",")
	case "settings":
		p.Settings = key.Strings(",")
	case "seeds":
		if p.Seeds, err = key.StrictUint64s(","); err != nil || len(p.Seeds) == 0 {
			return "counts separated by commas"
		}
	case "parallel":
		if p.Parallel, err = key.Int(); err != nil || p.Parallel < 1 || p.Parallel > 16 {
			return "a count from 1 to 16"
		}
	case "port":
		if p.Port, err = key.Int(); err != nil || p.Port < 1024 || p.Port > 12080 {
			return "a port from 1024 to 12080, below those that the system gives out"
		}
	case "wait":
		if p.Wait, err = time.ParseDuration(key.Value()); err != nil || p.Wait < time.Second {
			return "a duration of a second or more"
		}
	default:
		return "left out; known are mixes, parallel, port, seeds, settings, wait, worlds"
	}
	return ""
}

// checkFiles checks the files that a plan names; its elements are nil for those without an error.
func (p *Plan) checkFiles() (faults []error) {
	if len(p.Worlds) == 0 || len(p.Mixes) == 0 {
		faults = append(faults, errors.New("[experiment] worlds and mixes: must name a file each at least"))
	}
	for _, w := range p.Worlds {
		_, err := p.readCluster(w)
		faults = append(faults, err)
	}
	for _, m := range p.Mixes {
		_, err := p.readMix(m)
		faults = append(faults, err)
	}
	for _, s := range p.Settings {
		if s != noSettings {
			if _, err := os.Stat(filepath.Join(p.Dir, s)); err != nil {
				faults = append(faults, fmt.Errorf("reading the settings: %w", err))
			}
		}
	}
	return faults
}

func (p *Plan) readCluster(name string) (*emulator.Config, error) {
	if name == "small" {
		return emulator.DefaultConfig(), nil
	}
	text, err := os.ReadFile(filepath.Join(p.Dir, name))
	if err != nil {
		return nil, fmt.Errorf("reading the cluster: %w", err)
	}
	c, err := emulator.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s:\n%w", name, err)
	}
	return c, nil
}

func (p *Plan) readMix(name string) (*load.Mix, error) {
	text, err := os.ReadFile(filepath.Join(p.Dir, name))
	if err != nil {
		return nil, fmt.Errorf("reading the load: %w", err)
	}
	m, err := load.ParseMix(text)
	if err != nil {
		return nil, fmt.Errorf("%s:\n%w", name, err)
	}
	return m, nil
}

// Cells lists the runs of a plan.
func (p *Plan) Cells() (out []Cell) {
	for _, w := range p.Worlds {
		for _, m := range p.Mixes {
			for _, s := range p.Settings {
				for _, seed := range p.Seeds {
					out = append(out, Cell{w, m, s, seed})
				}
			}
		}
	}
	return out
}

// Runner runs a plan.
type Runner struct {
	Plan    *Plan
	Out     string // directory of the results
	Program string // path of the amberdeal binary
	Log     *slog.Logger
	// Progress is called when a cell is over, with how many of all are over, and whether it had been
	// complete before.
	Progress func(c Cell, over, all int, before bool)
}

// Run runs every cell that is not complete yet, and returns the outcomes of all.
func (r *Runner) Run(ctx context.Context) ([]*Outcome, error) {
	if err := os.MkdirAll(r.Out, 0o755); err != nil {
		return nil, fmt.Errorf("making the directory of the results: %w", err)
	}
	cells := r.Plan.Cells()
	out := make([]*Outcome, len(cells))
	ports := make(chan int, r.Plan.Parallel)
	for i := range r.Plan.Parallel {
		ports <- r.Plan.Port + 1500*i
	}
	var mu sync.Mutex
	over := 0
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(r.Plan.Parallel)
	for i, c := range cells {
		g.Go(func() error {
			path := filepath.Join(r.Out, c.fileName())
			o, err := readOutcome(path)
			before := err == nil
			if !before {
				port := <-ports
				o, err = r.runCell(ctx, c, port)
				ports <- port
				if err != nil {
					return fmt.Errorf("%v: %w", c, err)
				}
				if err := outcomefile.Save(path, o); err != nil {
					return fmt.Errorf("%v: %w", c, err)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			out[i] = o
			over++
			r.Progress(c, over, len(cells), before)
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	return out, writeTables(r.Out, out)
}

func readOutcome(path string) (*Outcome, error) {
	o := new(Outcome)
	if err := outcomefile.Load(path, outcomeKind, o); err != nil {
		return nil, err
	}
	if o.Result == nil {
		return nil, fmt.Errorf("%s: not %s: no result", path, outcomeKind)
	}
	return o, nil
}

// outcomeKind is what a file of an outcome holds, in errors.
const outcomeKind = "a cell's outcome"

// Read returns the outcomes of a directory.
func Read(dir string) (out []*Outcome, err error) {
	paths, err := filepath.Glob(filepath.Join(dir, "cell-*.json"))
	if err != nil || len(paths) == 0 {
		return nil, fmt.Errorf("%s holds no outcome of an experiment", dir)
	}
	slices.Sort(paths)
	for _, path := range paths {
		o, err := readOutcome(path)
		if err != nil {
			return nil, err
		}
		out = append(out, o)
	}
	return out, nil
}

// runCell plays a cell.
func (r *Runner) runCell(ctx context.Context, c Cell, port int) (*Outcome, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	conf, mix, err := r.Plan.cellInput(c)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "amberdeal-experiment-*")
	if err != nil {
		return nil, fmt.Errorf("making a directory for the cluster: %w", err)
	}
	defer os.RemoveAll(dir)
	procs := emulator.Processes{Program: r.Program, Level: "error", Dir: dir}
	if procs.Tuning, err = r.Plan.operatorSettings(c.Settings); err != nil {
		return nil, err
	}
	procs.Begin(ctx)
	defer procs.Stop()
	cluster, err := emulator.Start(ctx, conf, emulator.Options{Port: port, Dir: dir, Log: r.Log, Kill: procs.KillNamed, Pause: procs.PauseNamed})
	if err != nil {
		return nil, fmt.Errorf("starting the emulated cluster: %w", err)
	}
	defer cluster.Stop()
	caller := &transport.Caller{MaxBody: 1 << 20, MaxIdle: 256, Dial: emulator.Dial}
	addrs, err := startControllers(ctx, &procs, cluster, caller)
	if err != nil {
		return nil, err
	}
	o := &Outcome{Cell: c, RPS: conf.State.RPS, WriteRPS: conf.State.WriteRPS}
	runner := &load.Runner{Mix: mix, Addrs: addrs, JudgeAddr: cluster.Control(), Prefix: strconv.FormatUint(c.Seed%1000, 10), Caller: caller, DrainTimeout: r.Plan.Wait}
	if err := o.measure(ctx, cluster, runner); err != nil {
		return nil, err
	}
	return o, nil
}

// cellInput reads the cluster and the load of a cell, both with its seed.
func (p *Plan) cellInput(c Cell) (*emulator.Config, *load.Mix, error) {
	conf, err := p.readCluster(c.World)
	if err != nil {
		return nil, nil, err
	}
	mix, err := p.readMix(c.Mix)
	if err != nil {
		return nil, nil, err
	}
	conf.Seed, mix.Seed = c.Seed, c.Seed
	return conf, mix, nil
}

// operatorSettings returns the content of an operators' file, empty for the defaults.
func (p *Plan) operatorSettings(settings string) (string, error) {
	if settings == noSettings {
		return "", nil
	}
	text, err := os.ReadFile(filepath.Join(p.Dir, settings))
	if err != nil {
		return "", fmt.Errorf("reading the settings: %w", err)
	}
	return string(text), nil
}

// startControllers starts the controllers of a cluster, waits until they are ready and returns
// their addresses.
func startControllers(ctx context.Context, procs *emulator.Processes, cluster *emulator.Cluster, caller *transport.Caller) ([]string, error) {
	procs.Settings, procs.Metrics = cluster.Settings, cluster.Metrics
	var addrs []string
	for i := range cluster.Config.Controllers {
		if err := procs.Start(i); err != nil {
			return nil, fmt.Errorf("starting controller %d: %w", i, err)
		}
		addrs = append(addrs, cluster.Public(i))
	}
	if err := emulator.Ready(ctx, caller, addrs); err != nil {
		return nil, fmt.Errorf("waiting for the controllers: %w", err)
	}
	return addrs, nil
}

// measure runs the load of a cell on a cluster, and records its result and the cluster's state
// and faults meanwhile.
func (o *Outcome) measure(ctx context.Context, cluster *emulator.Cluster, runner *load.Runner) error {
	sampling, end := context.WithCancel(ctx)
	sampled := make(chan struct{})
	go func() { defer close(sampled); o.sample(sampling, cluster) }()
	var err error
	o.Result, err = runner.Run(ctx, func(int, int, int) {})
	end()
	<-sampled
	if err != nil {
		return fmt.Errorf("running the load: %w", err)
	}
	o.Faults = cluster.Status().Faults
	return nil
}

// sample records the cluster's state each second.
func (o *Outcome) sample(ctx context.Context, cluster *emulator.Cluster) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	last := cluster.Status()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		s := cluster.Status()
		if d := s.AgeS - last.AgeS; d > 0 {
			o.Samples = append(o.Samples, Sample{Cell: o.Cell, TimeS: s.AgeS, Machines: s.Machines, Up: s.Up, Running: s.RunningTasks, Cost: s.Cost, FencingToken: s.FencingToken,
				Requests: float64(s.Requests-last.Requests) / d, Changes: float64(s.Changes-last.Changes) / d})
		}
		last = s
	}
}

// writeTables writes the columnar files.
func writeTables(dir string, all []*Outcome) error {
	var samples []Sample
	var classes []ClassRow
	for _, o := range all {
		samples = append(samples, o.Samples...)
		for _, name := range o.Result.Names() {
			c := o.Result.Classes[name]
			classes = append(classes, ClassRow{o.Cell, name, c.Jobs, c.Accepted, c.Refused, c.GivenUp, c.Done, c.Cancelled,
				c.Accept.P50, c.Accept.P99, c.Start.P50, c.Start.P99, c.Finish.P50, c.Finish.P99})
		}
	}
	err := errors.Join(parquet.WriteFile(filepath.Join(dir, "samples.parquet"), samples), parquet.WriteFile(filepath.Join(dir, "classes.parquet"), classes))
	if err != nil {
		return fmt.Errorf("writing the tables: %w", err)
	}
	return nil
}
